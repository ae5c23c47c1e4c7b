#include "Request/Fingerprint.h"

#include <algorithm>
#include <charconv>
#include <memory>

#include <boost/algorithm/string.hpp>
#include <boost/endian/conversion.hpp>
#include <openssl/evp.h>

namespace wisteria {

namespace {

/// A hash of several texts in which no two different lists of texts have the same input.
class TextHash
{
public:
    TextHash() : context_(EVP_MD_CTX_new(), &EVP_MD_CTX_free)
    {
        EVP_DigestInit_ex(context_.get(), EVP_sha256(), nullptr);
    }

    void add(std::string_view text)
    {
        const std::uint64_t size = text.size();
        EVP_DigestUpdate(context_.get(), &size, sizeof(size));
        EVP_DigestUpdate(context_.get(), text.data(), text.size());
    }

    Fingerprint finish()
    {
        std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest{};
        EVP_DigestFinal_ex(context_.get(), digest.data(), nullptr);
        Fingerprint fingerprint;
        std::copy_n(digest.begin(), fingerprint.bytes.size(), fingerprint.bytes.begin());
        return fingerprint;
    }

private:
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context_;
};

} // namespace

Fingerprint fingerprintOf(const GatewayRequest &request, std::string_view organisation)
{
    TextHash hash;
    hash.add(request.method);
    // Host names are the same in lower and upper case.
    hash.add(boost::algorithm::to_lower_copy(request.host));
    hash.add(request.target);
    hash.add(organisation);
    hash.add(request.body);
    return hash.finish();
}

Fingerprint fingerprintOfPart(std::string_view service, std::string_view partId)
{
    TextHash hash;
    // No method of a request has a blank, so that no request has the fingerprint of a part.
    hash.add("prompt part");
    hash.add(service);
    hash.add(partId);
    return hash.finish();
}

Fingerprint fingerprintOfService(std::string_view service)
{
    TextHash hash;
    // No method of a request has a blank, so that no request has the fingerprint of a service.
    hash.add("suspects of a service");
    hash.add(service);
    return hash.finish();
}

RequestIdentity identityOf(const GatewayRequest &request, std::string_view organisation,
                           std::string_view service)
{
    RequestIdentity identity{.request = fingerprintOf(request, organisation), .parts = {}};
    for (const std::string &part : request.sharedPromptParts)
        identity.parts.push_back(fingerprintOfPart(service, part));
    return identity;
}

std::uint64_t hashOf(const Fingerprint &fingerprint)
{
    return boost::endian::load_little_u64(fingerprint.bytes.data());
}

std::string toText(const Fingerprint &fingerprint)
{
    constexpr const char *digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : fingerprint.bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 0xF];
    }
    return text;
}

std::optional<Fingerprint> fingerprintFromText(std::string_view text)
{
    Fingerprint fingerprint;
    if (text.size() != 2 * fingerprint.bytes.size())
        return std::nullopt;
    constexpr int hexadecimal = 16;
    for (std::size_t i = 0; i < fingerprint.bytes.size(); ++i) {
        const char *begin = text.data() + 2 * i;
        const auto parsed = std::from_chars(begin, begin + 2, fingerprint.bytes[i], hexadecimal);
        if (parsed.ec != std::errc() || parsed.ptr != begin + 2)
            return std::nullopt;
    }
    return fingerprint;
}

} // namespace wisteria
