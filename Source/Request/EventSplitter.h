#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisteria {

/// Passes on the complete events of a text/event-stream, holds back an incomplete one at its end,
/// and remembers the last event id.
///
/// A backend server's stream may end in the middle of an event. Only complete events are forwarded,
/// so that a resumed stream continues after the last id without repeating a part of an event.
class EventSplitter
{
public:
    /// Adds bytes of the stream.
    /// @return All events that are complete now, unchanged; empty when there is none.
    std::string feed(std::string_view bytes);

    /// Id of the last event that feed() returned with an id.
    std::optional<std::uint64_t> lastId() const { return lastId_; }

    /// Number of buffered bytes of an incomplete event.
    std::size_t pending() const { return partialEvent_.size(); }

    /// Drops the incomplete event of an interrupted stream and keeps the last id.
    void discardPartialEvent() { partialEvent_.clear(); }

private:
    void noteIds(std::string_view events);

    std::string partialEvent_;
    std::optional<std::uint64_t> lastId_;
};

} // namespace wisteria
