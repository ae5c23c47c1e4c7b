#pragma once

#include <optional>
#include <string>

#include "Config.pb.h"
#include "Version/ConfigState.h"

namespace wisteria {

/// Key of an object; its kind is unspecified if the object has no content.
ObjectKey keyOf(const v1::Object &object);

/// "service", "backend_server", "organisation" or "routing_policy"; "object" if unspecified.
std::string kindName(v1::ObjectKind kind);

/// Inverse of kindName(); nothing for an unknown name.
std::optional<v1::ObjectKind> kindFromName(const std::string &name);

/// Kind and name of an object for messages, such as "service 'lookup'".
std::string describeKey(const ObjectKey &key);

/// Whether two objects have equal kinds and fields.
bool sameContent(const v1::Object &left, const v1::Object &right);

/// One line for each field that differs, such as "service 'lookup': queue_bound 8 -> 16". `before`
/// is null for an object that is created, `after` for one that is removed; either gives one line.
std::vector<std::string> differencesOf(const ObjectKey &key, const v1::Object *before,
                                       const v1::Object *after);

/// Digest of the objects that a change sets and removes. It does not cover the operator, the
/// reason, the change id or times.
std::uint64_t contentDigest(const v1::ChangeRecord &change);

} // namespace wisteria
