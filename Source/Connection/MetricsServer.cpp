#include "Connection/MetricsServer.h"

#include <thread>
#include <utility>

namespace wisteria {

class MetricsServer::Private
{
public:
    explicit Private(std::function<std::string()> text)
        : text_(std::move(text)), listener_(loop_, [this](const HttpRequest &request) {
              return answerScraper(request, text_);
          })
    { }

    std::function<std::string()> text_;
    EventLoop loop_;
    StatusListener listener_;
    std::thread thread_;
};

MetricsServer::MetricsServer(std::function<std::string()> text)
    : private_(std::make_unique<Private>(std::move(text)))
{ }

MetricsServer::~MetricsServer()
{
    if (!private_->thread_.joinable())
        return;
    private_->loop_.stop();
    private_->thread_.join();
}

Result<std::string> MetricsServer::listen(const std::string &address)
{
    const auto endpoint = listenAddressFromText(address);
    if (endpoint.has_error()) {
        return failure(ErrorKind::BadSettings,
                       "metrics can't be served on '" + address
                           + "'; give an IP number of this VM and a port, or port 0");
    }
    BOOST_OUTCOME_TRY(bound, private_->listener_.listen(endpoint.value()));
    private_->thread_ = std::thread([this] { private_->loop_.run(); });
    return toText(bound);
}

StatusAnswer answerScraper(const HttpRequest &request, const std::function<std::string()> &text)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (request.method != "GET" || path != metricsPath) {
        return {.status = 404,
                .fields = {{"Content-Type", "text/plain"}},
                .body = std::string("metrics are served on ") + metricsPath + "\n"};
    }
    return {
        .status = 200, .fields = {{"Content-Type", "text/plain; version=0.0.4"}}, .body = text()};
}

} // namespace wisteria
