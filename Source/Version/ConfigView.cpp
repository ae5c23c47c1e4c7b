#include "Version/ConfigView.h"

namespace wisteria {

ConfigView::ConfigView(const ConfigState &state, const v1::ChangeRecord &change) : state_(state)
{
    for (const v1::ObjectChange &entry : change.changes())
        changed_[{entry.kind(), entry.name()}] = entry.remove() ? nullptr : &entry.content();
}

const v1::Object *ConfigView::find(const ObjectKey &key) const
{
    const auto changed = changed_.find(key);
    if (changed != changed_.end())
        return changed->second;
    const auto existing = state_.objects.find(key);
    return existing == state_.objects.end() ? nullptr : &existing->second.object();
}

void ConfigView::forEach(v1::ObjectKind kind,
                         const std::function<void(const v1::Object &)> &visit) const
{
    const ObjectKey begin{kind, ""};
    for (auto it = state_.objects.lower_bound(begin);
         it != state_.objects.end() && it->first.kind == kind; ++it) {
        if (!changed_.contains(it->first))
            visit(it->second.object());
    }
    for (auto it = changed_.lower_bound(begin); it != changed_.end() && it->first.kind == kind;
         ++it) {
        if (it->second != nullptr)
            visit(*it->second);
    }
}

} // namespace wisteria
