#include <iostream>

#include "Programs/Sidecar/Sidecar.h"

namespace {

constexpr int exitBadSettings = 2;

int fail(const wisteria::Error &error)
{
    std::cerr << "wisteria-sidecar: " << error.message << std::endl;
    return exitBadSettings;
}

} // namespace

int main()
{
    auto settings = wisteria::platform::loadProcessSettings();
    if (settings.has_error())
        return fail(settings.error());
    wisteria::Sidecar sidecar(std::move(settings.value()));
    const auto result = sidecar.run();
    return result.has_error() ? fail(result.error()) : 0;
}
