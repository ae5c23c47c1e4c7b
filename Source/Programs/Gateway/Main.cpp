#include "Programs/Gateway/Gateway.h"
#include "Programs/RunProgram.h"

int main(int argc, char **argv)
{
    return wisteria::runProgram<wisteria::Gateway>(
        {"wisteria-gateway", "Takes callers' requests and routes them to backend servers."}, argc,
        argv);
}
