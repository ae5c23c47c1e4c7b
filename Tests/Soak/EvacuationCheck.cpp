#include "Soak/EvacuationCheck.h"

namespace wisteria::soak {

void EvacuationCheck::begin(const std::string &domain, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    knownAt_.try_emplace(domain, cuts_.empty() ? now + evacuationBound : TimePoint::max());
}

void EvacuationCheck::end(const std::string &domain)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    knownAt_.erase(domain);
}

void EvacuationCheck::setStoreCut(const std::string &cause, bool cut, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool changed = cut ? cuts_.insert(cause).second : cuts_.erase(cause) > 0;
    if (!changed)
        return;
    for (auto &[domain, knownAt] : knownAt_) {
        if (knownAt > now)
            knownAt = cuts_.empty() ? now + evacuationBound : TimePoint::max();
    }
}

bool EvacuationCheck::forbids(const std::string &domain, TimePoint now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = knownAt_.find(domain);
    return found != knownAt_.end() && now >= found->second;
}

} // namespace wisteria::soak
