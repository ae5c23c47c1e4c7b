#include "Programs/RunProgram.h"
#include "Programs/Sidecar/Sidecar.h"

int main(int argc, char **argv)
{
    return wisteria::runProgram<wisteria::Sidecar>(
        {"wisteria-sidecar",
         "Reports the load of one model engine and executes the orders for its rank."},
        argc, argv);
}
