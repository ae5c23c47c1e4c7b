#include "Soak/BoundCheck.h"

namespace wisteria::soak {

void BoundCheck::begin(const std::string &target, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    knownAt_.try_emplace(target, cuts_.empty() ? now + bound_ : TimePoint::max());
}

void BoundCheck::end(const std::string &target)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    knownAt_.erase(target);
}

void BoundCheck::setCut(const std::string &cause, bool cut, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool changed = cut ? cuts_.insert(cause).second : cuts_.erase(cause) > 0;
    if (!changed)
        return;
    for (auto &[target, knownAt] : knownAt_) {
        if (knownAt > now)
            knownAt = cuts_.empty() ? now + bound_ : TimePoint::max();
    }
}

bool BoundCheck::forbids(const std::string &target, TimePoint now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = knownAt_.find(target);
    return found != knownAt_.end() && now >= found->second;
}

} // namespace wisteria::soak
