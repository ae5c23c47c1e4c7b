#include "Soak/KeepAliveCaller.h"

namespace wisteria::soak {

namespace {

/// Longer than any route's timeout, so that late answers are received too.
constexpr milliseconds answerTime{6000};

} // namespace

gateway_tests::CallResult KeepAliveCaller::call(const std::string &request)
{
    if (!socket_)
        socket_ = std::make_unique<gateway_tests::CallerSocket>(to_);
    gateway_tests::CallResult result;
    if (socket_->connected()) {
        socket_->send(request);
        result = socket_->readAnswer(answerTime);
    }
    if (!result.whole || result.header("Connection") == "close")
        socket_.reset();
    return result;
}

} // namespace wisteria::soak
