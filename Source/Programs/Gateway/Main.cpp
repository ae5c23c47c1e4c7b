#include <iostream>

#include "Programs/Gateway/Gateway.h"

namespace {

constexpr int exitBadSettings = 2;

int fail(const wisteria::Error &error)
{
    std::cerr << "wisteria-gateway: " << error.message << std::endl;
    return exitBadSettings;
}

} // namespace

int main()
{
    auto settings = wisteria::platform::loadProcessSettings();
    if (settings.has_error())
        return fail(settings.error());
    wisteria::Gateway gateway(std::move(settings.value()));
    const auto result = gateway.run();
    return result.has_error() ? fail(result.error()) : 0;
}
