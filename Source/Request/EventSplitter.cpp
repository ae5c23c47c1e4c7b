#include "Request/EventSplitter.h"

#include <charconv>

namespace wisteria {

namespace {

constexpr std::string_view idField = "id:";

std::optional<std::uint64_t> idOfLine(std::string_view line)
{
    if (!line.starts_with(idField))
        return std::nullopt;
    line.remove_prefix(idField.size());
    while (line.starts_with(' '))
        line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return id;
}

/// Returns the end of the last complete event; 0 when there is none. An empty line ends an event.
std::size_t endOfEvents(std::string_view text)
{
    const std::size_t lfLfAt = text.rfind("\n\n");
    const std::size_t lfCrLfAt = text.rfind("\n\r\n");
    std::size_t end = 0;
    if (lfLfAt != std::string_view::npos)
        end = lfLfAt + 2;
    if (lfCrLfAt != std::string_view::npos && lfCrLfAt + 3 > end)
        end = lfCrLfAt + 3;
    return end;
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    partialEvent_.append(bytes);
    const std::size_t end = endOfEvents(partialEvent_);
    if (end == 0)
        return {};
    std::string events = partialEvent_.substr(0, end);
    partialEvent_.erase(0, end);
    noteIds(events);
    return events;
}

void EventSplitter::noteIds(std::string_view events)
{
    while (!events.empty()) {
        const std::size_t end = events.find('\n');
        if (const auto id = idOfLine(events.substr(0, end)))
            lastId_ = id;
        if (end == std::string_view::npos)
            return;
        events.remove_prefix(end + 1);
    }
}

} // namespace wisteria
