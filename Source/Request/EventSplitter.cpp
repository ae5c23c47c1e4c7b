#include "Request/EventSplitter.h"

#include <charconv>

namespace wisteria {

namespace {

constexpr std::string_view idField = "id:";

std::optional<std::uint64_t> idIn(std::string_view line)
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

/// Where the last whole event ends; 0 when there is none. An event ends with an empty line.
std::size_t endOfEvents(std::string_view text)
{
    const std::size_t plain = text.rfind("\n\n");
    const std::size_t withReturn = text.rfind("\n\r\n");
    std::size_t end = 0;
    if (plain != std::string_view::npos)
        end = plain + 2;
    if (withReturn != std::string_view::npos && withReturn + 3 > end)
        end = withReturn + 3;
    return end;
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    rest_.append(bytes);
    const std::size_t end = endOfEvents(rest_);
    if (end == 0)
        return {};
    std::string events = rest_.substr(0, end);
    rest_.erase(0, end);
    noteIds(events);
    return events;
}

void EventSplitter::noteIds(std::string_view events)
{
    while (!events.empty()) {
        const std::size_t end = events.find('\n');
        if (const auto id = idIn(events.substr(0, end)))
            lastId_ = id;
        if (end == std::string_view::npos)
            return;
        events.remove_prefix(end + 1);
    }
}

} // namespace wisteria
