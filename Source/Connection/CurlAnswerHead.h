#pragma once

#include <memory>
#include <optional>

#include <curl/curl.h>

#include "Connection/AnswerFault.h"

namespace wisteria {

/// Reads the head of the answer to a libcurl transfer by the same rules as all other answers.
/// libcurl itself reports success for a head that breaks off, for statuses above 599, for lines
/// that are no fields and for lengths and transfer codings that contradict each other.
class CurlAnswerHead
{
public:
    CurlAnswerHead();
    ~CurlAnswerHead();
    CurlAnswerHead(const CurlAnswerHead &) = delete;
    CurlAnswerHead &operator=(const CurlAnswerHead &) = delete;

    /// Watches a transfer that begins. The transfer ends with CURLE_WRITE_ERROR, and its connection
    /// is closed, when the head or a trailer breaks a rule.
    /// @param easy Handle of the transfer. This object must outlive the transfer.
    void watch(CURL *easy);

    /// Whether a whole head has been read.
    bool complete() const;
    /// The rule that the answer has broken so far.
    std::optional<AnswerFault> fault() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
