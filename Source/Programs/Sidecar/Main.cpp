#include "Programs/RunProgram.h"
#include "Programs/Sidecar/Sidecar.h"

int main(int argc, char **argv)
{
    return wisteria::runProgram<wisteria::Sidecar>(
        {"wisteria-sidecar", "Keeps the rank of one model engine and tells its load."}, argc, argv);
}
