#pragma once

#include <functional>
#include <map>

#include "Version/ConfigState.h"

namespace wisteria {

/// The configuration as it would be after a change, without copying the state. State and change
/// outlive the view.
class ConfigView
{
public:
    /// The state as it is.
    explicit ConfigView(const ConfigState &state) : state_(state) { }
    /// The state with the change on top.
    ConfigView(const ConfigState &state, const v1::ChangeRecord &change);

    /// The object, or null if there is none.
    const v1::Object *find(const ObjectKey &key) const;

    /// Calls `visit` with each object of a kind, in no particular but a fixed order.
    void forEach(v1::ObjectKind kind, const std::function<void(const v1::Object &)> &visit) const;

private:
    const ConfigState &state_;
    /// Objects that the change sets; null for one that it removes.
    std::map<ObjectKey, const v1::Object *> changed_;
};

} // namespace wisteria
