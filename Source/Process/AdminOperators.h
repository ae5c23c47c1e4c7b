#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Version/ConfigState.h"

namespace wisteria {

/// Operator account from the admin's settings.
struct OperatorAccount
{
    std::string name;
    /// SHA-256 of the token in lower-case hexadecimal; the token itself is not stored.
    std::string tokenSha256;
    /// May read but not change the configuration.
    bool readOnly = false;
    /// Services and organisations that the operator may change; if both are empty, there is no
    /// limit.
    std::vector<std::string> services;
    std::vector<std::string> organisations;
};

/// SHA-256 of a text in lower-case hexadecimal.
std::string sha256Of(const std::string &text);

/// Returns the account that a token belongs to; null if there is none.
const OperatorAccount *accountOf(const std::vector<OperatorAccount> &accounts,
                                 const std::string &token);

/// Checks that the account may make a change. A limited operator may set and remove the account's
/// services, their backend servers, and the account's organisations.
/// @return Conflict with the object and the remedy.
Result<void> checkPermission(const OperatorAccount &account, const ConfigState &state,
                             const v1::ChangeRecord &change);

} // namespace wisteria
