#include "Version/ConfigFile.h"

#include <array>
#include <set>

#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

#include "Process/Settings.h"
#include "Version/ConfigCheck.h"
#include "Version/ConfigObject.h"

namespace wisteria {

namespace {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;
using google::protobuf::Message;

struct Section
{
    const char *name;
    v1::ObjectKind kind;
};

constexpr std::array<Section, 4> sections = {{
    {"routing_policies", v1::OBJECT_KIND_ROUTING_POLICY},
    {"services", v1::OBJECT_KIND_SERVICE},
    {"backend_servers", v1::OBJECT_KIND_BACKEND_SERVER},
    {"organisations", v1::OBJECT_KIND_ORGANISATION},
}};

Json fileSchema()
{
    const Json objects = {{"type", "array"}, {"items", {{"type", "object"}}}};
    const Json removal = {
        {"type", "object"},
        {"required", {"kind", "name"}},
        {"properties",
         {{"kind", {{"enum", {"service", "backend_server", "organisation", "routing_policy"}}}},
          {"name", {{"type", "string"}}}}},
        {"additionalProperties", false},
    };
    return {
        {"type", "object"},
        {"properties",
         {{"as_of", {{"type", "integer"}, {"minimum", 0}}},
          {"services", objects},
          {"backend_servers", objects},
          {"organisations", objects},
          {"routing_policies", objects},
          {"remove", {{"type", "array"}, {"items", removal}}}}},
        {"additionalProperties", false},
    };
}

Message *contentOf(v1::Object &object, v1::ObjectKind kind)
{
    switch (kind) {
    case v1::OBJECT_KIND_SERVICE:
        return object.mutable_service();
    case v1::OBJECT_KIND_BACKEND_SERVER:
        return object.mutable_backend_server();
    case v1::OBJECT_KIND_ORGANISATION:
        return object.mutable_organisation();
    default:
        return object.mutable_routing_policy();
    }
}

Result<v1::Object> parseObject(const Json &entry, const Section &section,
                               const std::string &location)
{
    v1::Object object;
    const auto status =
        google::protobuf::util::JsonStringToMessage(entry.dump(), contentOf(object, section.kind));
    if (!status.ok()) {
        return failure(ErrorKind::BadSettings,
                       location + ": " + std::string(status.message())
                           + "; docs/operators/configuration.md lists the fields of a "
                           + kindName(section.kind));
    }
    if (keyOf(object).name.empty())
        return failure(ErrorKind::BadSettings, location + ": has no name; give it a \"name\"");
    return object;
}

OrderedJson objectJson(const v1::Object &object)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    std::string text;
    static_cast<void>(google::protobuf::util::MessageToJsonString(object, &text, options));
    return OrderedJson::parse(text).begin().value();
}

void addSet(v1::ChangeRecord &change, const v1::Object &object, Offset base)
{
    const ObjectKey key = keyOf(object);
    v1::ObjectChange &entry = *change.add_changes();
    entry.set_kind(key.kind);
    entry.set_name(key.name);
    entry.set_base_version(base);
    *entry.mutable_content() = object;
}

void addRemoval(v1::ChangeRecord &change, const ObjectKey &key, Offset base)
{
    v1::ObjectChange &entry = *change.add_changes();
    entry.set_kind(key.kind);
    entry.set_name(key.name);
    entry.set_base_version(base);
    entry.set_remove(true);
}

/// Base version for an object of the file: 0 without `asOf`, else the object's current version, or
/// `asOf` if the object changed after the file was saved.
Offset baseVersionOf(const std::optional<Offset> &asOf, Offset current)
{
    if (!asOf)
        return 0;
    return current <= *asOf ? current : *asOf;
}

} // namespace

Result<ConfigFile> parseConfigFile(const std::string &text, const std::string &name)
{
    BOOST_OUTCOME_TRY(document, parseSettings(text, name, fileSchema()));
    ConfigFile file;
    if (document.contains("as_of"))
        file.asOf = document["as_of"].get<Offset>();
    for (const Section &section : sections) {
        const Json entries = document.value(section.name, Json::array());
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const std::string location = name + ": at /" + section.name + "/" + std::to_string(i);
            BOOST_OUTCOME_TRY(object, parseObject(entries[i], section, location));
            file.objects.push_back(std::move(object));
        }
    }
    for (const Json &entry : document.value("remove", Json::array())) {
        const auto kind = kindFromName(entry["kind"].get<std::string>());
        file.removals.push_back({kind.value(), entry["name"].get<std::string>()});
    }
    return file;
}

std::string renderConfigFile(Offset asOf, const std::vector<v1::VersionedObject> &objects)
{
    OrderedJson document;
    document["as_of"] = asOf;
    for (const Section &section : sections) {
        for (const v1::VersionedObject &object : objects) {
            if (keyOf(object.object()).kind == section.kind)
                document[section.name].push_back(objectJson(object.object()));
        }
    }
    return document.dump(2) + "\n";
}

std::vector<std::string> checkConfigFile(const ConfigFile &file)
{
    std::vector<std::string> mistakes;
    std::set<ObjectKey> keys;
    const auto checkUnique = [&](const ObjectKey &key) {
        if (!keys.insert(key).second)
            mistakes.push_back(describeKey(key) + " occurs twice in the file; keep one of the two");
    };
    for (const v1::Object &object : file.objects) {
        checkUnique(keyOf(object));
        const Result<void> checked = checkObject(object);
        if (!checked)
            mistakes.push_back(checked.error().message);
    }
    for (const ObjectKey &key : file.removals)
        checkUnique(key);
    if (keys.empty())
        mistakes.push_back("the file declares nothing; list at least one object");
    return mistakes;
}

v1::ChangeRecord changeFromFile(const ConfigFile &file,
                                const std::map<ObjectKey, v1::VersionedObject> &current)
{
    v1::ChangeRecord change;
    change.set_base_position(file.asOf.value_or(0));
    for (const v1::Object &object : file.objects) {
        const auto existing = current.find(keyOf(object));
        if (existing == current.end())
            addSet(change, object, 0);
        else if (!sameContent(existing->second.object(), object))
            addSet(change, object, baseVersionOf(file.asOf, existing->second.version()));
    }
    for (const ObjectKey &key : file.removals) {
        const auto existing = current.find(key);
        const Offset version = existing == current.end() ? 0 : existing->second.version();
        addRemoval(change, key, file.asOf ? baseVersionOf(file.asOf, version) : version);
    }
    return change;
}

v1::ChangeRecord revertingChange(const std::map<ObjectKey, v1::VersionedObject> &previous,
                                 const std::map<ObjectKey, v1::VersionedObject> &current)
{
    v1::ChangeRecord change;
    for (const auto &[key, object] : previous) {
        const auto existing = current.find(key);
        if (existing == current.end())
            addSet(change, object.object(), 0);
        else if (!sameContent(existing->second.object(), object.object()))
            addSet(change, object.object(), existing->second.version());
    }
    for (const auto &[key, object] : current) {
        if (!previous.contains(key))
            addRemoval(change, key, object.version());
    }
    return change;
}

} // namespace wisteria
