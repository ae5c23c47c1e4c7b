#include "Programs/RunProgram.h"
#include "Programs/Sidecar/Sidecar.h"

int main()
{
    return wisteria::runProgram<wisteria::Sidecar>("wisteria-sidecar");
}
