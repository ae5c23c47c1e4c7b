#include "Connection/HttpReader.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace wisteria {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

/// Maximum size in bytes of a response head, and of a line between the chunks of a body. The body
/// itself has no bound here, because it is passed on as it arrives.
constexpr std::uint32_t responseHeaderBytes = 32768;

std::string toString(string_view text)
{
    return std::string(text.data(), text.size());
}

/// A Boost.Beast parser that stores the start line and fields and passes body bytes to onBody_.
template <bool isRequest> class Parser : public http::basic_parser<isRequest>
{
public:
    std::string method_;
    std::string target_;
    std::string reason_;
    int version_ = 11;
    int status_ = 0;
    HttpFields fields_;
    bool headParsed_ = false;
    std::function<void(string_view)> onBody_;

protected:
    void on_request_impl(http::verb, string_view method, string_view target, int version,
                         error_code &) override
    {
        method_ = toString(method);
        target_ = toString(target);
        version_ = version;
    }
    void on_response_impl(int code, string_view reason, int version, error_code &) override
    {
        status_ = code;
        reason_ = toString(reason);
        version_ = version;
    }
    void on_field_impl(http::field, string_view name, string_view value, error_code &) override
    {
        fields_.push_back({toString(name), toString(value)});
    }
    void on_header_impl(error_code &) override { headParsed_ = true; }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, error_code &) override { }
    std::size_t on_body_impl(string_view body, error_code &) override
    {
        onBody_(body);
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, string_view, error_code &) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, string_view body, error_code &) override
    {
        onBody_(body);
        return body.size();
    }
    void on_finish_impl(error_code &) override { }
};

/// Whether the parser may be given the input. Beast asserts that it gets at least the five bytes of
/// the last chunk when it looks at that again, which a peer that sends bit by bit would violate.
template <bool isRequest> bool mayParse(const Parser<isRequest> &parser, const std::string &input)
{
    constexpr std::size_t lastChunkBytes = 5;
    return !parser.headParsed_ || !parser.chunked() || input.size() >= lastChunkBytes;
}

RequestFault faultOf(const error_code &error)
{
    if (error == http::error::header_limit)
        return RequestFault::HeaderTooLarge;
    if (error == http::error::body_limit)
        return RequestFault::BodyTooLarge;
    return RequestFault::Malformed;
}

AnswerFault answerFaultOf(const error_code &error)
{
    switch (static_cast<http::error>(error.value())) {
    case http::error::header_limit:
    case http::error::body_limit:
        return AnswerFault::TooLong;
    case http::error::partial_message:
    case http::error::end_of_stream:
        return AnswerFault::EndedEarly;
    case http::error::bad_content_length:
        return AnswerFault::Length;
    case http::error::bad_transfer_encoding:
        return AnswerFault::TransferCoding;
    case http::error::bad_chunk:
    case http::error::bad_chunk_extension:
        return AnswerFault::Chunk;
    case http::error::bad_field:
    case http::error::bad_value:
    case http::error::bad_obs_fold:
    case http::error::bad_line_ending:
        return AnswerFault::Field;
    default:
        return AnswerFault::StatusLine;
    }
}

/// Whether another server may see the end or the host of the request differently (request
/// smuggling): a transfer coding other than "chunked", chunks in HTTP/1.0, or two Host fields.
/// Bytes of one request could then run as another.
bool isAmbiguous(const Parser<true> &parser)
{
    const auto isHost = [](const HttpField &field) { return sameFieldName(field.name, "Host"); };
    return hasOtherTransferCoding(parser.fields_, parser.version_)
        || std::count_if(parser.fields_.begin(), parser.fields_.end(), isHost) > 1;
}

} // namespace

class RequestReader::Private
{
public:
    explicit Private(HttpLimitsSource limits) : limits_(std::move(limits)) { resetParser(); }

    void resetParser()
    {
        parser_.emplace();
        body_.clear();
        continueHandled_ = false;
        parser_->onBody_ = [this](string_view bytes) { body_.append(bytes.data(), bytes.size()); };
        parser_->eager(true);
    }

    /// Sets the limits of a request of which nothing has been parsed yet.
    void setLimits()
    {
        const HttpLimits limits = limits_();
        parser_->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        parser_->body_limit(limits.bodyBytes);
    }

    void parse()
    {
        if (!input_.empty() && !parser_->got_some())
            setLimits();
        while (!input_.empty() && !parser_->is_done() && fault_ == RequestFault::None
               && mayParse(*parser_, input_)) {
            error_code error;
            const std::size_t used =
                parser_->put(boost::asio::const_buffer(input_.data(), input_.size()), error);
            input_.erase(0, used);
            if (error == http::error::need_more)
                return;
            if (error)
                fault_ = faultOf(error);
            else if (parser_->headParsed_ && isAmbiguous(*parser_))
                fault_ = RequestFault::Malformed;
            if (used == 0)
                return;
        }
    }

    HttpLimitsSource limits_;
    std::optional<Parser<true>> parser_;
    std::string input_;
    std::string body_;
    RequestFault fault_ = RequestFault::None;
    bool continueHandled_ = false;
};

RequestReader::RequestReader(HttpLimitsSource limits)
    : private_(std::make_unique<Private>(std::move(limits)))
{ }

RequestReader::~RequestReader() = default;

void RequestReader::feed(std::string_view bytes)
{
    private_->input_.append(bytes);
    private_->parse();
}

bool RequestReader::complete() const
{
    return private_->fault_ == RequestFault::None && private_->parser_->is_done();
}

HttpRequest RequestReader::takeRequest()
{
    Parser<true> &parser = *private_->parser_;
    HttpRequest request{.method = std::move(parser.method_),
                        .target = std::move(parser.target_),
                        .version = parser.version_,
                        .fields = std::move(parser.fields_),
                        .body = std::move(private_->body_),
                        .keepAlive = parser.keep_alive()};
    // It has grown part by part, and is held until the request is answered.
    request.body.shrink_to_fit();
    private_->resetParser();
    private_->parse();
    return request;
}

RequestFault RequestReader::fault() const
{
    return private_->fault_;
}

bool RequestReader::expectsContinue()
{
    if (private_->continueHandled_ || !private_->parser_->headParsed_
        || private_->parser_->is_done())
        return false;
    private_->continueHandled_ = true;
    return fieldHasToken(private_->parser_->fields_, "Expect", "100-continue");
}

bool RequestReader::requestStarted() const
{
    return !private_->input_.empty() || private_->parser_->got_some();
}

std::size_t RequestReader::buffered() const
{
    return private_->input_.size() + private_->body_.size();
}

std::size_t RequestReader::heldBytes() const
{
    return private_->input_.capacity() + private_->body_.capacity();
}

bool isFieldLine(std::string_view line)
{
    bool isField = true;
    ResponseReader reader({.head = [](const HttpResponseHead &) {},
                           .body = [](std::string_view) {},
                           .complete = [] {},
                           .malformed = [&isField](AnswerFault) { isField = false; }},
                          true);
    reader.feed("HTTP/1.1 200 OK\r\n");
    reader.feed(line);
    reader.feed("\r\n");
    return isField && reader.complete();
}

class ResponseReader::Private
{
public:
    Private(ResponseEvents events, bool isHeadRequest)
        : events_(std::move(events)), isHeadRequest_(isHeadRequest)
    {
        resetParser();
    }

    void resetParser()
    {
        parser_.emplace();
        parser_->onBody_ = [this](string_view bytes) {
            pendingBody_.append(bytes.data(), bytes.size());
        };
        parser_->header_limit(responseHeaderBytes);
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        parser_->eager(true);
        parser_->skip(isHeadRequest_);
    }

    void parse()
    {
        bool progress = true;
        while (progress && !failed_ && !parser_->is_done() && !input_.empty()
               && mayParse(*parser_, input_))
            progress = parsePart();
        if (failed_)
            return;
        if (!parser_->is_done() && input_.size() > responseHeaderBytes) {
            fail(AnswerFault::TooLong);
            return;
        }
        deliverEvents();
    }

    /// Parses what can be parsed of the input.
    /// @return Whether there may be more.
    bool parsePart()
    {
        error_code error;
        const std::size_t used =
            parser_->put(boost::asio::const_buffer(input_.data(), input_.size()), error);
        input_.erase(0, used);
        const bool needsMore = error == http::error::need_more;
        if (error && !needsMore) {
            fail(answerFaultOf(error));
            return false;
        }
        if (const auto fault = headFault()) {
            fail(*fault);
            return false;
        }
        if (parser_->headParsed_ && isInterimStatus(parser_->status_)) {
            resetParser();
            return true;
        }
        return used > 0 && !needsMore;
    }

    /// Why the head, if it has been read, is not that of an answer.
    std::optional<AnswerFault> headFault()
    {
        if (!parser_->headParsed_ || headDelivered_)
            return std::nullopt;
        if (isInterimStatus(parser_->status_))
            return faultOfInterim(parser_->status_, ++interimAnswers_);
        return faultOfFinalHead(parser_->status_, parser_->version_, parser_->fields_);
    }

    void fail(AnswerFault fault)
    {
        failed_ = true;
        events_.malformed(fault);
    }

    void deliverEvents()
    {
        if (parser_->headParsed_ && !headDelivered_) {
            headDelivered_ = true;
            events_.head({.status = parser_->status_,
                          .reason = std::move(parser_->reason_),
                          .fields = std::move(parser_->fields_),
                          .keepAlive = parser_->keep_alive(),
                          .selfDelimited = !parser_->need_eof()});
        }
        if (destroyed_)
            return;
        if (!pendingBody_.empty()) {
            std::string part;
            part.swap(pendingBody_);
            events_.body(part);
        }
        if (destroyed_ || !parser_->is_done() || completeDelivered_)
            return;
        completeDelivered_ = true;
        events_.complete();
    }

    ResponseEvents events_;
    bool isHeadRequest_;
    std::optional<Parser<false>> parser_;
    std::size_t interimAnswers_ = 0;
    std::string input_;
    std::string pendingBody_;
    bool headDelivered_ = false;
    bool completeDelivered_ = false;
    bool failed_ = false;
    /// The reader is destroyed, so no callback may be called.
    bool destroyed_ = false;
};

ResponseReader::ResponseReader(ResponseEvents events, bool isHeadRequest)
    : private_(std::make_shared<Private>(std::move(events), isHeadRequest))
{ }

ResponseReader::~ResponseReader()
{
    private_->destroyed_ = true;
}

void ResponseReader::feed(std::string_view bytes)
{
    // A callback may destroy the reader; the state must outlive the callback.
    const std::shared_ptr<Private> state = private_;
    state->input_.append(bytes);
    state->parse();
}

void ResponseReader::feedEnd()
{
    const std::shared_ptr<Private> state = private_;
    if (state->failed_ || state->parser_->is_done())
        return;
    // The parser asserts that it has got a part of the answer.
    error_code error = http::error::partial_message;
    if (state->parser_->got_some())
        state->parser_->put_eof(error);
    if (error) {
        state->fail(AnswerFault::EndedEarly);
        return;
    }
    state->deliverEvents();
}

bool ResponseReader::insideHead() const
{
    const Parser<false> &parser = *private_->parser_;
    return !parser.headParsed_ && (parser.got_some() || !private_->input_.empty());
}

bool ResponseReader::complete() const
{
    return private_->parser_->is_done();
}

const std::string &ResponseReader::trailingBytes() const
{
    return private_->input_;
}

} // namespace wisteria
