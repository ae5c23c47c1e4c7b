#include "Process/Settings.h"

#include <fstream>
#include <sstream>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "Process/BoundedJson.h"

namespace wisteria {

namespace {

using Adapter = valijson::adapters::NlohmannJsonAdapter;

/// Converts the validator's path, such as "<root>", "[services]", "[0]", to "/services/0".
std::string jsonPathOf(const std::vector<std::string> &context)
{
    std::string path;
    for (const std::string &part : context) {
        if (part.size() > 2 && part.front() == '[' && part.back() == ']')
            path += "/" + part.substr(1, part.size() - 2);
    }
    return path.empty() ? "the top" : path;
}

/// Returns the validator's first error as text: it is about the invalid entry. The errors after it
/// are about the objects that contain the entry, and don't help to correct it.
std::string describe(valijson::ValidationResults &results)
{
    valijson::ValidationResults::Error error;
    if (!results.popError(error))
        return "at the top: does not match the schema";
    return "at " + jsonPathOf(error.context) + ": " + error.description;
}

/// Returns the line and column of an offset, both counted from 1.
std::string lineAndColumn(const std::string &text, std::size_t offset)
{
    std::size_t line = 1;
    std::size_t column = 1;
    for (std::size_t i = 0; i < offset && i < text.size(); ++i) {
        ++column;
        if (text[i] == '\n') {
            ++line;
            column = 1;
        }
    }
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

} // namespace

Result<nlohmann::json> parseSettings(const std::string &text, const std::string &name,
                                     const nlohmann::json &schema)
{
    nlohmann::json document;
    bool tooDeep = false;
    const auto keepShallow = [&tooDeep](int depth, nlohmann::json::parse_event_t,
                                        const nlohmann::json &) {
        const bool deep = depth > static_cast<int>(maxJsonDepth);
        tooDeep = tooDeep || deep;
        return !deep;
    };
    try {
        document = nlohmann::json::parse(text, keepShallow, true, true);
    } catch (const nlohmann::json::parse_error &error) {
        return failure(ErrorKind::BadSettings,
                       name + ", " + lineAndColumn(text, error.byte)
                           + ": this is not JSON with comments (" + error.what()
                           + "); correct the text there");
    } catch (const nlohmann::json::out_of_range &error) {
        return failure(ErrorKind::BadSettings,
                       name + ": a number is out of range (" + error.what()
                           + "); correct that number");
    }
    if (tooDeep) {
        return failure(ErrorKind::BadSettings,
                       name + ": values nest more than " + std::to_string(maxJsonDepth)
                           + " levels deep; remove the inner ones");
    }
    valijson::Schema parsedSchema;
    valijson::SchemaParser parser;
    parser.populateSchema(Adapter(schema), parsedSchema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (!validator.validate(parsedSchema, Adapter(document), &results)) {
        return failure(ErrorKind::BadSettings,
                       name + ": " + describe(results)
                           + "; correct these entries, docs/operators/settings.md lists them all");
    }
    return document;
}

Result<nlohmann::json> loadSettings(const std::string &path, const nlohmann::json &schema)
{
    const std::ifstream file(path);
    if (!file) {
        return failure(ErrorKind::NotFound,
                       path + ": can't be read; give the path of a settings file");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path, schema);
}

} // namespace wisteria
