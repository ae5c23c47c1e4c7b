#include "Version/ConfigObject.h"

#include <algorithm>
#include <array>
#include <sstream>

#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace wisteria {

namespace {

using Json = nlohmann::json;

struct KindName
{
    v1::ObjectKind kind;
    const char *name;
};

constexpr std::array<KindName, 4> kindNames = {{
    {v1::OBJECT_KIND_SERVICE, "service"},
    {v1::OBJECT_KIND_BACKEND_SERVER, "backend_server"},
    {v1::OBJECT_KIND_ORGANISATION, "organisation"},
    {v1::OBJECT_KIND_ROUTING_POLICY, "routing_policy"},
}};

/// All fields of an object, unset ones included, as flat JSON with the schema's names.
Json fieldsOf(const v1::Object *object)
{
    if (object == nullptr)
        return Json::object();
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string text;
    static_cast<void>(google::protobuf::util::MessageToJsonString(*object, &text, options));
    const Json document = Json::parse(text, nullptr, false);
    if (!document.is_object() || document.empty())
        return Json::object();
    return document.begin().value().flatten();
}

std::string fieldName(const std::string &pointer)
{
    std::string name = pointer.substr(1);
    std::replace(name.begin(), name.end(), '/', '.');
    return name;
}

std::string valueText(const Json &fields, const std::string &pointer)
{
    return fields.contains(pointer) ? fields[pointer].dump() : "(none)";
}

/// The fields that are set, on one line, such as: concurrency 8, service "lookup".
std::string listOf(const Json &fields)
{
    std::string list;
    for (const auto &[pointer, value] : fields.items()) {
        const std::string text = value.dump();
        const bool unset = value.is_null() || text == "0" || text == "false" || text == R"("0")"
            || text == R"("")";
        if (pointer == "/name" || unset)
            continue;
        list += (list.empty() ? "" : ", ") + fieldName(pointer) + " " + text;
    }
    return list.empty() ? "no fields" : list;
}

} // namespace

ObjectKey keyOf(const v1::Object &object)
{
    switch (object.content_case()) {
    case v1::Object::kService:
        return {v1::OBJECT_KIND_SERVICE, object.service().name()};
    case v1::Object::kBackendServer:
        return {v1::OBJECT_KIND_BACKEND_SERVER, object.backend_server().name()};
    case v1::Object::kOrganisation:
        return {v1::OBJECT_KIND_ORGANISATION, object.organisation().name()};
    case v1::Object::kRoutingPolicy:
        return {v1::OBJECT_KIND_ROUTING_POLICY, object.routing_policy().name()};
    case v1::Object::CONTENT_NOT_SET:
        break;
    }
    return {};
}

std::string kindName(v1::ObjectKind kind)
{
    for (const KindName &entry : kindNames) {
        if (entry.kind == kind)
            return entry.name;
    }
    return "object";
}

std::optional<v1::ObjectKind> kindFromName(const std::string &name)
{
    for (const KindName &entry : kindNames) {
        if (name == entry.name)
            return entry.kind;
    }
    return std::nullopt;
}

std::string describeKey(const ObjectKey &key)
{
    return kindName(key.kind) + " '" + key.name + "'";
}

bool sameContent(const v1::Object &left, const v1::Object &right)
{
    return left.SerializeAsString() == right.SerializeAsString();
}

std::vector<std::string> differencesOf(const ObjectKey &key, const v1::Object *before,
                                       const v1::Object *after)
{
    if (after == nullptr)
        return {describeKey(key) + ": removed"};
    std::vector<std::string> lines;
    const Json newFields = fieldsOf(after);
    if (before == nullptr)
        return {describeKey(key) + ": created with " + listOf(newFields)};
    const Json oldFields = fieldsOf(before);
    Json pointers = oldFields;
    pointers.update(newFields);
    for (const auto &[pointer, ignored] : pointers.items()) {
        const std::string oldText = valueText(oldFields, pointer);
        const std::string newText = valueText(newFields, pointer);
        if (oldText != newText && pointer != "/name")
            lines.push_back(describeKey(key) + ": " + fieldName(pointer) + " " + oldText + " -> "
                            + newText);
    }
    return lines;
}

std::uint64_t contentDigest(const v1::ChangeRecord &change)
{
    v1::ChangeRecord content;
    *content.mutable_changes() = change.changes();
    const std::string bytes = content.SerializeAsString();
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace wisteria
