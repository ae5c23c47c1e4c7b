#include "Connection/CurlAnswerHead.h"

#include <string_view>

#include "Connection/HttpReader.h"

namespace wisteria {

class CurlAnswerHead::Private
{
public:
    void reset()
    {
        fault_.reset();
        // The bodies are read by libcurl, so the head is read like that of an answer to HEAD.
        reader_.emplace(ResponseEvents{.head = [](const HttpResponseHead &) {},
                                       .body = [](std::string_view) {},
                                       .complete = [] {},
                                       .malformed = [this](AnswerFault fault) { fault_ = fault; }},
                        true);
    }

    bool readLine(std::string_view line)
    {
        if (!reader_->complete())
            reader_->feed(line);
        else if (!isFieldLine(line))
            fault_ = AnswerFault::Field;
        return !fault_;
    }

    static std::size_t onLine(char *bytes, std::size_t size, std::size_t count, void *self)
    {
        const std::size_t length = size * count;
        return static_cast<Private *>(self)->readLine({bytes, length}) ? length : 0;
    }

    std::optional<ResponseReader> reader_;
    std::optional<AnswerFault> fault_;
};

CurlAnswerHead::CurlAnswerHead() : private_(std::make_unique<Private>())
{
    private_->reset();
}

CurlAnswerHead::~CurlAnswerHead() = default;

void CurlAnswerHead::watch(CURL *easy)
{
    private_->reset();
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Private::onLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, private_.get());
}

bool CurlAnswerHead::complete() const
{
    return private_->reader_->complete();
}

std::optional<AnswerFault> CurlAnswerHead::fault() const
{
    return private_->fault_;
}

} // namespace wisteria
