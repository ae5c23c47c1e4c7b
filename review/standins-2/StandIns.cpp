#include "StandIns.h"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

bool sameName(const std::string &a, const std::string &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return std::tolower(x) == std::tolower(y); });
}

sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int remainingMilliseconds(Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(0, left));
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    if (query == std::string::npos)
        return {};
    std::istringstream parts(target.substr(query + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        if (part.starts_with(name + "="))
            return part.substr(name.size() + 1);
    }
    return {};
}

std::string base64(const std::string &bytes)
{
    static const char *const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t block = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
            block = block << 8 | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += j <= count ? digits[block >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

void appendBigEndian(std::string &text, std::uint64_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; --i)
        text += static_cast<char>(value >> (8 * i) & 255);
}

} // namespace

Record::Record(const std::string &path) : path_(path)
{
    std::ofstream(path_, std::ios::trunc);
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::chrono::duration<double> at = Clock::now() - begin_;
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", at.count());
    std::ofstream(path_, std::ios::app) << time << text << "\n";
}

std::string Message::field(const std::string &name) const
{
    for (const auto &[field, value] : fields) {
        if (sameName(field, name))
            return value;
    }
    return {};
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const std::size_t begin = startLine.find(' ') + 1;
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
}

int Message::status() const
{
    return std::atoi(target().c_str());
}

Peer::~Peer()
{
    close();
}

bool Peer::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Peer::fill(Clock::time_point until)
{
    if (descriptor_ < 0)
        return false;
    pollfd wait{descriptor_, POLLIN, 0};
    if (::poll(&wait, 1, remainingMilliseconds(until)) <= 0)
        return false;
    char bytes[16384];
    const ssize_t count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
    if (count <= 0)
        return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<Message> Peer::read(milliseconds timeout, bool isHead)
{
    const auto until = Clock::now() + timeout;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until))
            return std::nullopt;
    }
    Message message;
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::getline(head, message.startLine);
    if (!message.startLine.empty() && message.startLine.back() == '\r')
        message.startLine.pop_back();
    for (std::string line; std::getline(head, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        message.fields.emplace_back(line.substr(0, colon), line.substr(value));
    }
    if (isHead)
        return message;
    if (sameName(message.field("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return std::nullopt;
            }
            const std::size_t size = std::stoul(buffer_.substr(0, lineEnd), nullptr, 16);
            while (buffer_.size() < lineEnd + 2 + size + 2) {
                if (!fill(until))
                    return std::nullopt;
            }
            message.body += buffer_.substr(lineEnd + 2, size);
            buffer_.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                return message;
        }
    }
    const std::string length = message.field("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer_.size() < size) {
        if (!fill(until))
            return std::nullopt;
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return message;
}

bool Peer::closedWithin(milliseconds timeout)
{
    const auto until = Clock::now() + timeout;
    while (Clock::now() < until) {
        pollfd wait{descriptor_, POLLIN, 0};
        if (::poll(&wait, 1, remainingMilliseconds(until) + 1) <= 0)
            continue;
        char bytes[16384];
        const ssize_t count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return true;
        buffer_.append(bytes, static_cast<std::size_t>(count));
    }
    return false;
}

void Peer::reset()
{
    if (descriptor_ < 0)
        return;
    const linger now{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close();
}

void Peer::close()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
}

std::unique_ptr<Peer> connectTo(const std::string &ip, int port, milliseconds timeout)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto peer = std::make_unique<Peer>(descriptor);
    const sockaddr_in to = addressOf(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
        pollfd wait{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&wait, 1, static_cast<int>(timeout.count())) <= 0)
            return nullptr;
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0)
            return nullptr;
    }
    ::fcntl(descriptor, F_SETFL, 0);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return peer;
}

Server::Server(const std::string &ip, int port, Handler handler) : handler_(std::move(handler))
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = addressOf(ip, port);
    if (::bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(listener_, 1024) != 0)
        throw std::runtime_error("can't listen on " + ip + ":" + std::to_string(port));
    socklen_t length = sizeof(address);
    ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &length);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { acceptAll(); });
}

Server::~Server()
{
    stop();
}

void Server::acceptAll()
{
    while (!stopping_) {
        pollfd wait{listener_, POLLIN, 0};
        if (::poll(&wait, 1, 20) <= 0)
            continue;
        const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        threads_.emplace_back([this, descriptor] {
            Peer peer(descriptor);
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                peers_.insert(&peer);
            }
            handler_(peer);
            const std::lock_guard<std::mutex> lock(mutex_);
            peers_.erase(&peer);
        });
    }
}

void Server::stop()
{
    if (stopping_.exchange(true))
        return;
    acceptor_.join();
    ::close(listener_);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const linger now{1, 0};
        for (const Peer *peer : peers_) {
            if (peer->descriptor() < 0)
                continue;
            ::setsockopt(peer->descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
            ::shutdown(peer->descriptor(), SHUT_RDWR);
        }
    }
    for (std::thread &thread : threads_)
        thread.join();
}

Store::Store(const std::string &ip)
{
    server_ = std::make_unique<Server>(ip, 0, [this](Peer &peer) { serve(peer); });
}

Store::~Store()
{
    ending_ = true;
    changed_.notify_all();
    server_->stop();
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (down_)
        return;
    topics_[topic].push_back({key, value});
    changed_.notify_all();
}

void Store::setDown(bool down)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    down_ = down;
    changed_.notify_all();
}

void Store::serve(Peer &peer)
{
    while (!ending_) {
        const auto request = peer.read(milliseconds(60000));
        if (!request)
            return;
        const std::string text = down_ ? std::string() : answer(*request);
        if (down_ || !peer.send(text)) {
            peer.reset();
            return;
        }
    }
}

std::string Store::answer(const Message &request)
{
    const std::string target = request.target();
    const std::string topic = queryValue(target, "topic");
    if (target.starts_with("/log-append"))
        return append(topic, request);
    if (target.starts_with("/log-read")) {
        const std::string wait = queryValue(target, "wait_ms");
        return read(topic, std::stoull(queryValue(target, "from")),
                    milliseconds(wait.empty() ? 0 : std::stoi(wait)));
    }
    if (target.starts_with("/log-newest"))
        return newest(topic);
    return response(404, "Not Found", {}, "");
}

std::string Store::append(const std::string &topic, const Message &request)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<Item> &items = topics_[topic];
    const std::string at = queryValue(request.target(), "at");
    if (!at.empty() && std::stoull(at) != items.size())
        return response(412, "Precondition Failed", {}, Json({{"end", items.size()}}).dump());
    const std::uint64_t offset = items.size();
    std::string rest = request.body;
    while (rest.size() >= 5) {
        std::uint32_t length = 0;
        for (int i = 0; i < 4; ++i)
            length = length << 8 | static_cast<unsigned char>(rest[static_cast<std::size_t>(i)]);
        const std::string content = rest.substr(4, length);
        rest.erase(0, 4 + length);
        const auto key = static_cast<unsigned char>(content[0]);
        items.push_back({content.substr(1, key), content.substr(1U + key)});
    }
    changed_.notify_all();
    return response(200, "OK", {}, Json({{"offset", offset}, {"end", items.size()}}).dump());
}

std::string Store::read(const std::string &topic, std::uint64_t from, milliseconds wait)
{
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, wait, [&] { return ending_ || down_ || topics_[topic].size() > from; });
    const std::vector<Item> &items = topics_[topic];
    std::string body;
    appendBigEndian(body, items.size(), 8);
    appendBigEndian(body, 0, 8);
    for (std::uint64_t i = from; i < items.size(); ++i) {
        const Item &item = items[i];
        appendBigEndian(body, 1 + item.key.size() + item.value.size(), 4);
        body += static_cast<char>(item.key.size());
        body += item.key + item.value;
    }
    return response(200, "OK", {}, body);
}

std::string Store::newest(const std::string &topic)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::vector<Item> &items = topics_[topic];
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < items.size(); ++i)
        last[items[i].key] = i;
    Json entries = Json::array();
    for (const auto &[key, index] : last) {
        if (!items[index].value.empty())
            entries.push_back(
                {{"key", key}, {"value", base64(items[index].value)}, {"offset", index}});
    }
    return response(
        200, "OK", {{"Content-Type", "application/json"}},
        Json({{"entries", entries}, {"has_more", false}, {"end", items.size()}}).dump());
}

std::string response(int status, const std::string &reason, const Fields &fields,
                     const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Process::Process(const std::vector<std::string> &command, const std::string &settings,
                 const std::string &log)
{
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ != 0)
        return;
    // The process ends with the script, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("WISTERIAWIND_CONFIG", settings.c_str(), 1);
    const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    std::vector<char *> arguments;
    for (const std::string &word : command)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    if (::getppid() == parent)
        ::execv(arguments[0], arguments.data());
    ::_exit(127);
}

Process::~Process()
{
    if (reaped_ || pid_ <= 0)
        return;
    ::kill(pid_, SIGCONT);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

void Process::signal(int number) const
{
    ::kill(pid_, number);
}

bool Process::ended(milliseconds timeout)
{
    return waitUntil(timeout, [this] {
        reaped_ = reaped_ || ::waitpid(pid_, nullptr, WNOHANG) == pid_;
        return reaped_;
    });
}

std::string freeLoopbackAddress()
{
    std::random_device random;
    const auto part = [&random] { return std::to_string(1 + random() % 250); };
    return "127." + part() + "." + part() + "." + part();
}

int freePort(const std::string &ip)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(ip, 0);
    ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    socklen_t length = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    ::close(descriptor);
    return ntohs(address.sin_port);
}

std::string settingsText(const Place &place, const std::string &store)
{
    std::ostringstream text;
    text << "node_name=" << place.name << "\nip=" << place.ip << "\nzone=hall-a\nregion=khomas\n"
         << "zones.hall-a=khomas\nmachine_class=" << (place.app.empty() ? "front" : "side") << "\n";
    if (place.app.empty())
        text << "role=gateway\nserves=front\nlisten.front=" << place.ip << ":" << place.callers
             << "\nlisten.ready=" << place.ip << ":" << place.readiness
             << "\nlimits.memory_mb=260\nlimits.max_open_files=4100\nlimits.link_mbps=1000.0\n";
    else
        text << "role=sidecar\nserves=side\napp=" << place.app
             << "\nlimits.memory_mb=128\nlimits.max_open_files=2048\nlimits.link_mbps=20.0\n";
    text << "internal_port_range=" << place.internal << "," << place.internal + 15
         << "\nbootstrap=true\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n"
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,"
            "experts\n"
            "bounds.seed_lag_s=3\nbounds.address_reuse_s=2\nbounds.stability_window_ms=3000\n"
            "bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\n"
            "bounds.grace_period_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
            "bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\n"
            "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=94\n"
            "bounds.recovery_s=12\nbounds.pass_ms=120\nbounds.retry_after_s=0\n"
            "bounds.stall_ms=1500\nbounds.fencing_required=false\n"
         << "platform.address=" << store
         << "\nplatform.form=log\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
            "platform.parts=24\nplatform.append_ms=1.0\nplatform.record_bytes=262144\n"
            "platform.call_bytes=2097152\nplatform.keep_s=20\n";
    return text.str();
}

bool waitUntil(milliseconds timeout, const std::function<bool()> &condition)
{
    const auto until = Clock::now() + timeout;
    while (!condition()) {
        if (Clock::now() >= until)
            return false;
        std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
}

int readiness(const Place &place)
{
    const auto peer = connectTo(place.ip, place.readiness, milliseconds(300));
    if (!peer || !peer->send("GET /readiness HTTP/1.1\r\nHost: platform\r\n\r\n"))
        return 0;
    const auto answer = peer->read(milliseconds(500));
    return answer ? answer->status() : 0;
}

} // namespace review
