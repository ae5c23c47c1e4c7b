#include "Process/AdminOperators.h"

#include <algorithm>
#include <array>

#include <openssl/sha.h>

#include "Version/ConfigObject.h"

namespace wisteria {

namespace {

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Whether a limited account may change an object with this content.
bool covers(const OperatorAccount &account, const v1::Object &object)
{
    if (object.has_service())
        return contains(account.services, object.service().name());
    if (object.has_backend_server())
        return contains(account.services, object.backend_server().service());
    if (object.has_organisation())
        return contains(account.organisations, object.organisation().name());
    return false;
}

auto denied(const OperatorAccount &account, const std::string &what)
{
    return failure(ErrorKind::Conflict,
                   "operator '" + account.name + "' may not change " + what
                       + "; ask an operator whose account in the admin's settings covers it");
}

} // namespace

std::string sha256Of(const std::string &text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest = {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    constexpr const char *digits = "0123456789abcdef";
    std::string hexadecimal;
    for (const unsigned char byte : digest) {
        hexadecimal.push_back(digits[byte >> 4]);
        hexadecimal.push_back(digits[byte & 0xf]);
    }
    return hexadecimal;
}

const OperatorAccount *accountOf(const std::vector<OperatorAccount> &accounts,
                                 const std::string &token)
{
    const std::string digest = sha256Of(token);
    for (const OperatorAccount &account : accounts) {
        if (account.tokenSha256 == digest)
            return &account;
    }
    return nullptr;
}

Result<void> checkPermission(const OperatorAccount &account, const ConfigState &state,
                             const v1::ChangeRecord &change)
{
    if (account.readOnly)
        return denied(account, "anything");
    if (account.services.empty() && account.organisations.empty())
        return boost::outcome_v2::success();
    for (const v1::ObjectChange &entry : change.changes()) {
        const ObjectKey key{entry.kind(), entry.name()};
        const auto existing = state.objects.find(key);
        // The account must cover both the current and the new content. Otherwise an operator could
        // move a backend server away from a service that the account does not cover.
        const bool wasCovered =
            existing == state.objects.end() || covers(account, existing->second.object());
        const bool willBeCovered = entry.remove() || covers(account, entry.content());
        const bool exists = existing != state.objects.end() || !entry.remove();
        if (!wasCovered || !willBeCovered || !exists)
            return denied(account, describeKey(key));
    }
    return boost::outcome_v2::success();
}

} // namespace wisteria
