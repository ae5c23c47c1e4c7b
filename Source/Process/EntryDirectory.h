#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Version/EntryMembers.h"

namespace wisteria {

/// Keeps this entry in the log's list of entries and follows the others, on a thread of its own.
class EntryDirectory
{
public:
    using Changed = std::function<void(EntryMembers)>;

    /// @param logUrl Base of the log service.
    /// @param self What this entry says of itself.
    /// @param changed Called on the directory's thread whenever the set of entries changes.
    EntryDirectory(const std::string &logUrl, v1::EntryMemberRecord self, Changed changed);

    /// Says goodbye, as far as the log takes it at once, and stops.
    ~EntryDirectory();
    EntryDirectory(const EntryDirectory &) = delete;
    EntryDirectory &operator=(const EntryDirectory &) = delete;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
