#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Version/EntryMembers.h"

namespace wisteria {

/// Registers this entry in the log's list of entries and watches the others, on a separate thread.
class EntryDirectory
{
public:
    using Changed = std::function<void(EntryMembers)>;

    /// @param logUrl Base of the log service.
    /// @param self This entry's record.
    /// @param changed Called on the directory's thread whenever the set of entries changes.
    EntryDirectory(const std::string &logUrl, v1::EntryMemberRecord self, Changed changed);

    /// Tries once to append a record that this entry is leaving, and stops the thread.
    ~EntryDirectory();
    EntryDirectory(const EntryDirectory &) = delete;
    EntryDirectory &operator=(const EntryDirectory &) = delete;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
