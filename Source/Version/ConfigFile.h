#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Version/ConfigState.h"

namespace wisteria {

/// Parsed content of an operator's configuration file.
struct ConfigFile
{
    /// Log position of the configuration that the file was saved from; absent in a file that was
    /// written by hand.
    std::optional<Offset> asOf;
    std::vector<v1::Object> objects;
    std::vector<ObjectKey> removals;
};

/// Parses an operator's file: JSON with comments and the schema's field names. Its top-level keys
/// are "services", "backend_servers", "organisations", "routing_policies", "remove" and "as_of".
/// @param name File name for error messages.
/// @return BadSettings with the file name, the location in the file and the remedy.
Result<ConfigFile> parseConfigFile(const std::string &text, const std::string &name);

/// Writes objects as a file that parseConfigFile() reads.
std::string renderConfigFile(Offset asOf, const std::vector<v1::VersionedObject> &objects);

/// Runs the checks that need no configuration in force.
/// @return The first mistake of each invalid object, one message per repeated object, and one if
/// the file is empty.
std::vector<std::string> checkConfigFile(const ConfigFile &file);

/// Returns the change that applies the file to the current configuration. Objects that the file
/// does not mention stay as they are, and objects with equal content are left out of the change.
///
/// The base version of an object that changed after the file was saved is the file's log position,
/// so that replay refuses the change instead of silently reverting the newer one.
v1::ChangeRecord changeFromFile(const ConfigFile &file,
                                const std::map<ObjectKey, v1::VersionedObject> &current);

/// Returns the change that reverts the configuration from `current` to `previous`.
v1::ChangeRecord revertingChange(const std::map<ObjectKey, v1::VersionedObject> &previous,
                                 const std::map<ObjectKey, v1::VersionedObject> &current);

} // namespace wisteria
