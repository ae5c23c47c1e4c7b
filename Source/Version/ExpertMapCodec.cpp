#include "Version/ExpertMapCodec.h"

#include <array>
#include <charconv>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace wisteria {

namespace {

using Json = nlohmann::json;

constexpr int hexadecimal = 16;
constexpr std::size_t digestDigits = 16;

std::string digestOf(const std::string &content)
{
    std::array<char, digestDigits> digits{};
    const auto hash = XXH3_64bits(content.data(), content.size());
    const auto end = std::to_chars(digits.begin(), digits.end(), hash, hexadecimal).ptr;
    return std::string(digits.begin(), end);
}

} // namespace

v1::ExpertMap encodeExpertMap(const ExpertMap &map)
{
    Json layers = Json::array();
    for (const LayerMap &layer : map.layers)
        layers.push_back(layer.ranks);
    v1::ExpertMap encoded;
    encoded.set_content(Json{{"layers", layers}}.dump());
    encoded.set_digest(digestOf(encoded.content()));
    return encoded;
}

Result<ExpertMap> decodeExpertMap(const v1::ExpertMap &encoded)
{
    if (digestOf(encoded.content()) != encoded.digest()) {
        return failure(ErrorKind::BadInput,
                       "an expert map's content is not what its digest " + encoded.digest()
                           + " names; check that all agents of the group run one release");
    }
    ExpertMap map;
    try {
        const Json document = Json::parse(encoded.content());
        for (const Json &layer : document.at("layers"))
            map.layers.push_back({layer.get<std::vector<std::vector<ExpertId>>>()});
    } catch (const Json::exception &error) {
        return failure(ErrorKind::BadInput,
                       std::string("an expert map can't be understood (") + error.what()
                           + "); check that all agents of the group run one release");
    }
    return map;
}

Result<std::vector<LoadReport>> parseLoadReports(const std::string &body, TimePoint now)
{
    std::vector<LoadReport> reports;
    try {
        const Json document = Json::parse(body);
        const TimePoint measured = now - milliseconds(document.at("age_ms").get<std::int64_t>());
        for (const Json &layer : document.at("layers")) {
            reports.push_back({measured, layer.at("layer").get<std::uint32_t>(),
                               layer.at("loads").get<std::vector<double>>()});
        }
    } catch (const Json::exception &error) {
        return failure(ErrorKind::BadInput,
                       std::string("the engine's load report can't be understood (") + error.what()
                           + "); check that the settings' group.engine.url names the engine");
    }
    return reports;
}

} // namespace wisteria
