#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Version/ConfigState.h"

namespace wisteria {

/// Somebody who may change the configuration, as the admin's settings list them.
struct OperatorAccount
{
    std::string name;
    /// SHA-256 of the token, in lower-case hexadecimal; the token itself is kept nowhere.
    std::string tokenSha256;
    /// May look but not change.
    bool readOnly = false;
    /// Services and organisations that the operator is limited to; both empty means no limit.
    std::vector<std::string> services;
    std::vector<std::string> organisations;
};

/// SHA-256 of a text in lower-case hexadecimal.
std::string sha256Of(const std::string &text);

/// The account that a token belongs to; null for none.
const OperatorAccount *accountOf(const std::vector<OperatorAccount> &accounts,
                                 const std::string &token);

/// Whether the account may make a change. A limited operator may set and remove the named services,
/// their backend servers, and the named organisations.
/// @return Conflict that names the object and whom to ask.
Result<void> checkPermission(const OperatorAccount &account, const ConfigState &state,
                             const v1::ChangeRecord &change);

} // namespace wisteria
