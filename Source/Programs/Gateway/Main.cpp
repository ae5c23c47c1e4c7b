#include "Programs/Gateway/Gateway.h"
#include "Programs/RunProgram.h"

int main()
{
    return wisteria::runProgram<wisteria::Gateway>("wisteria-gateway");
}
