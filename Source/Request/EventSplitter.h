#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisteria {

/// Cuts a text/event-stream into whole events and remembers the id of the last one.
///
/// A backend server may break off in the middle of an event. Only whole events are passed on, so
/// that a run that goes on after the last id begins with the next event and repeats no part.
class EventSplitter
{
public:
    /// Takes bytes in.
    /// @return The whole events that are there now, as they came.
    std::string feed(std::string_view bytes);

    /// Id of the last whole event that was handed out.
    std::optional<std::uint64_t> lastId() const { return lastId_; }

    /// Bytes of an event that is not whole yet.
    std::size_t pending() const { return rest_.size(); }

    /// Forgets the part of an event that a run left behind; the last id stays.
    void beginRun() { rest_.clear(); }

private:
    void noteIds(std::string_view events);

    std::string rest_;
    std::optional<std::uint64_t> lastId_;
};

} // namespace wisteria
