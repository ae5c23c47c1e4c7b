#pragma once

#include <functional>
#include <map>

#include "Version/ConfigState.h"

namespace wisteria {

/// The configuration as it would be after a change, without copying the state. State and change
/// must outlive the view.
class ConfigView
{
public:
    /// View of the state without a change.
    explicit ConfigView(const ConfigState &state) : state_(state) { }
    /// View of the state with the change applied.
    ConfigView(const ConfigState &state, const v1::ChangeRecord &change);

    /// The object, or null if there is none.
    const v1::Object *find(const ObjectKey &key) const;

    /// Calls `visit` with each object of a kind, in a deterministic order: unchanged objects by
    /// name, then changed ones by name.
    void forEach(v1::ObjectKind kind, const std::function<void(const v1::Object &)> &visit) const;

private:
    const ConfigState &state_;
    /// Objects that the change sets; null for one that it removes.
    std::map<ObjectKey, const v1::Object *> changed_;
};

} // namespace wisteria
