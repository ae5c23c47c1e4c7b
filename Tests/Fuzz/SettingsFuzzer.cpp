// Feeds arbitrary bytes to the parser of settings files. It must return a document whose name
// and listen are strings, as the schema requires, or an error that names the file, and not crash.

#include <cstdint>
#include <cstdlib>

#include "Process/Settings.h"

using namespace wisteria;

namespace {

const nlohmann::json &schema()
{
    static const nlohmann::json value = nlohmann::json::parse(R"({
        "type": "object",
        "required": ["name", "listen"],
        "additionalProperties": false,
        "properties": {
            "name": {"type": "string", "minLength": 1},
            "listen": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
            "traffic_threads": {"type": "integer", "minimum": 1, "maximum": 64},
            "log": {"type": "object", "required": ["url"],
                    "properties": {"url": {"type": "string"}}},
            "peers": {"type": "array", "items": {"type": "string"}}
        }
    })");
    return value;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto document = parseSettings(text, "fuzz.json", schema());
    if (document.has_value()) {
        if (!document.value()["name"].is_string() || !document.value()["listen"].is_string())
            std::abort();
    } else if (document.error().message.rfind("fuzz.json", 0) != 0) {
        std::abort();
    }
    return 0;
}
