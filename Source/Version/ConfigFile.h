#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Version/ConfigState.h"

namespace wisteria {

/// What an operator's file declares.
struct ConfigFile
{
    /// Position of the log that the file was saved at; absent in a file written by hand.
    std::optional<Offset> asOf;
    std::vector<v1::Object> objects;
    std::vector<ObjectKey> removals;
};

/// Parses an operator's file: JSON with comments, the schema's field names, at the top "services",
/// "backend_servers", "organisations", "routing_policies", "remove" and "as_of".
/// @param name What messages call the text.
/// @return BadSettings with the name, the place and the remedy.
Result<ConfigFile> parseConfigFile(const std::string &text, const std::string &name);

/// Writes objects as a file that parseConfigFile() reads.
std::string renderConfigFile(Offset asOf, const std::vector<v1::VersionedObject> &objects);

/// Checks a file by itself, as far as that goes without the configuration in force.
/// @return One message for each mistake.
std::vector<std::string> checkConfigFile(const ConfigFile &file);

/// The change that makes the configuration say what the file says. Objects that the file does not
/// mention stay as they are, and so do those that already say the same.
///
/// A file states what it knows: an object that moved on after the file was saved keeps the file's
/// own position as its base, so that replay refuses the change in place of silently going back.
v1::ChangeRecord changeFromFile(const ConfigFile &file,
                                const std::map<ObjectKey, v1::VersionedObject> &present);

/// The change that takes the configuration from `present` back to `former`.
v1::ChangeRecord changeBackTo(const std::map<ObjectKey, v1::VersionedObject> &former,
                              const std::map<ObjectKey, v1::VersionedObject> &present);

} // namespace wisteria
