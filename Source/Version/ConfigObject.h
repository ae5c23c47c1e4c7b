#pragma once

#include <optional>
#include <string>

#include "Config.pb.h"
#include "Version/ConfigState.h"

namespace wisteria {

/// Key of an object; kind unspecified when it has no content.
ObjectKey keyOf(const v1::Object &object);

/// "service", "backend_server", "organisation" or "routing_policy"; "object" if unspecified.
std::string kindName(v1::ObjectKind kind);

/// The kind that kindName() calls so.
std::optional<v1::ObjectKind> kindFromName(const std::string &name);

/// "service 'lookup'", as messages name an object.
std::string describeKey(const ObjectKey &key);

/// Whether two objects say the same.
bool sameContent(const v1::Object &left, const v1::Object &right);

/// One line for each field that differs, "service 'lookup': queue_bound 8 -> 16". Either side may
/// be null for an object that is created or removed.
std::vector<std::string> differencesOf(const ObjectKey &key, const v1::Object *before,
                                       const v1::Object *after);

/// Digest of what a change would set and remove, whoever sends it and whenever.
std::uint64_t contentDigest(const v1::ChangeRecord &change);

} // namespace wisteria
