#pragma once

// Stand-ins and helpers for the scripts of the review: a platform store, HTTP servers, and the
// project's programs as processes. Everything listens on loopback addresses.

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

using Clock = std::chrono::steady_clock;

inline void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// Writes lines with the seconds since the start of the script to record.txt.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path, std::ios::trunc), start_(Clock::now()) { }

    void write(const std::string &line)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f  ", seconds());
        file_ << time << line << std::endl;
    }

    double seconds() const { return std::chrono::duration<double>(Clock::now() - start_).count(); }

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point start_;
};

[[noreturn]] inline void giveUp(Record &record, const std::string &reason)
{
    record.write("the case could not run: " + reason);
    std::cerr << "could not run: " << reason << std::endl;
    std::_Exit(couldNotRun);
}

/// Whether the disruption takes place: TROUBLE=0 switches it off.
inline bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline sockaddr_in socketAddress(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// A loopback address on which no other process is likely to listen.
inline std::string randomLoopback()
{
    std::random_device random;
    std::uniform_int_distribution<int> byte(1, 250);
    return "127." + std::to_string(byte(random)) + "." + std::to_string(byte(random)) + "."
        + std::to_string(byte(random));
}

inline std::string headerOf(const std::string &head, const std::string &name)
{
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (line.size() > name.size() && line[name.size()] == ':'
            && strncasecmp(line.c_str(), name.c_str(), name.size()) == 0) {
            const std::size_t begin = line.find_first_not_of(' ', name.size() + 1);
            return begin == std::string::npos ? "" : line.substr(begin);
        }
    }
    return "";
}

struct Request
{
    std::string head;
    std::string body;

    std::string method() const { return head.substr(0, head.find(' ')); }
    std::string target() const
    {
        const std::size_t begin = head.find(' ') + 1;
        return head.substr(begin, head.find(' ', begin) - begin);
    }
    std::string header(const std::string &name) const { return headerOf(head, name); }
    std::string id() const { return header("Wisteriawind-Attempt-Id"); }
    std::string query(const std::string &name) const
    {
        const std::string text = target();
        std::size_t at = text.find("?" + name + "=");
        if (at == std::string::npos)
            at = text.find("&" + name + "=");
        if (at == std::string::npos)
            return "";
        const std::size_t begin = at + name.size() + 2;
        return text.substr(begin, text.find('&', begin) - begin);
    }
};

/// Sends all bytes; blocks while the other side does not read.
inline bool sendAll(int descriptor, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count =
            ::send(descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        done += static_cast<std::size_t>(count);
    }
    return true;
}

inline bool readRequest(int descriptor, std::string &buffer, Request &request)
{
    while (true) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            request.head = buffer.substr(0, end + 2);
            const std::string length = request.header("Content-Length");
            const std::size_t size = length.empty() ? 0 : std::stoul(length);
            if (buffer.size() >= end + 4 + size) {
                request.body = buffer.substr(end + 4, size);
                buffer.erase(0, end + 4 + size);
                return true;
            }
        }
        char bytes[16384];
        const ssize_t count = ::recv(descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

inline std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Answers HTTP requests, one thread for each connection. The handler returns false to close the
/// connection.
class Server
{
public:
    using Handler = std::function<bool(const Request &, int descriptor)>;

    Server(std::string ip, Handler handler) : ip_(std::move(ip)), handler_(std::move(handler))
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = socketAddress(ip_, 0);
        socklen_t size = sizeof(address);
        if (::bind(listener_, reinterpret_cast<sockaddr *>(&address), size) != 0
            || ::listen(listener_, 256) != 0) {
            std::cerr << "can't listen on " << ip_ << std::endl;
            std::_Exit(couldNotRun);
        }
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { acceptLoop(); }).detach();
    }

    std::string address() const { return ip_ + ":" + std::to_string(port_); }

private:
    void acceptLoop()
    {
        while (true) {
            const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            std::thread([this, descriptor] {
                std::string buffer;
                Request request;
                while (readRequest(descriptor, buffer, request) && handler_(request, descriptor)) {
                }
                ::close(descriptor);
            }).detach();
        }
    }

    std::string ip_;
    Handler handler_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
};

/// The platform's store: topics with one partition, long polls, newest records by key, and appends
/// with and without a condition.
class Store
{
public:
    explicit Store(const std::string &ip)
        : server_(ip, [this](const Request &request, int descriptor) {
              return sendAll(descriptor, answer(request));
          })
    { }

    std::string address() const { return server_.address(); }

    /// Appends a record of a keyed topic; an empty value drops the key.
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        append(topic, std::string(1, static_cast<char>(key.size())) + key + value);
    }

private:
    static std::string bigEndian(std::uint64_t value, int size)
    {
        std::string bytes;
        for (int i = size - 1; i >= 0; --i)
            bytes += static_cast<char>((value >> (8 * i)) & 0xFF);
        return bytes;
    }

    static std::string base64(const std::string &text)
    {
        static const char *const digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string encoded;
        for (std::size_t i = 0; i < text.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j)
                group = (group << 8)
                    | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
            for (std::size_t j = 0; j < 4; ++j)
                encoded += i + j <= text.size() ? digits[(group >> (18 - 6 * j)) & 63] : '=';
        }
        return encoded;
    }

    void append(const std::string &topic, const std::string &content)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        logs_[topic].push_back(content);
        appended_.notify_all();
    }

    std::string answer(const Request &request)
    {
        const std::string target = request.target();
        const std::string topic = request.query("topic");
        if (target.rfind("/log-newest", 0) == 0)
            return newest(topic);
        if (target.rfind("/log-read", 0) == 0)
            return read(topic, request);
        if (target.rfind("/log-append", 0) == 0)
            return appendAll(topic, request);
        return response(404, "", "");
    }

    std::string appendAll(const std::string &topic, const Request &request)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::vector<std::string> &log = logs_[topic];
        const std::string at = request.query("at");
        const std::string end = std::to_string(log.size());
        if (!at.empty() && at != end)
            return response(412, "Content-Type: application/json\r\n", "{\"end\":" + end + "}");
        std::string_view bytes = request.body;
        while (bytes.size() >= 4) {
            std::uint32_t length = 0;
            for (int i = 0; i < 4; ++i)
                length = (length << 8) | static_cast<unsigned char>(bytes[i]);
            log.emplace_back(bytes.substr(4, length));
            bytes.remove_prefix(4 + length);
        }
        appended_.notify_all();
        return response(200, "Content-Type: application/json\r\n",
                        "{\"offset\":" + end + ",\"end\":" + std::to_string(log.size()) + "}");
    }

    std::string read(const std::string &topic, const Request &request)
    {
        const std::size_t from = std::stoul("0" + request.query("from"));
        const int wait = std::stoi("0" + request.query("wait_ms"));
        std::unique_lock<std::mutex> lock(mutex_);
        std::vector<std::string> &log = logs_[topic];
        appended_.wait_for(lock, std::chrono::milliseconds(wait),
                           [&] { return log.size() > from; });
        std::string bytes = bigEndian(log.size(), 8) + bigEndian(0, 8);
        for (std::size_t i = from; i < log.size(); ++i)
            bytes += bigEndian(log[i].size(), 4) + log[i];
        return response(200, "", bytes);
    }

    std::string newest(const std::string &topic)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::map<std::string, std::pair<std::string, std::size_t>> values;
        const std::vector<std::string> &log = logs_[topic];
        for (std::size_t i = 0; i < log.size(); ++i) {
            const std::size_t size = static_cast<unsigned char>(log[i].at(0));
            values[log[i].substr(1, size)] = {log[i].substr(1 + size), i};
        }
        std::string entries;
        for (const auto &[key, value] : values) {
            if (value.first.empty())
                continue;
            entries += (entries.empty() ? "" : ",");
            entries += "{\"key\":\"" + key + "\",\"value\":\"" + base64(value.first)
                + "\",\"offset\":" + std::to_string(value.second) + "}";
        }
        return response(200, "Content-Type: application/json\r\n",
                        "{\"entries\":[" + entries
                            + "],\"has_more\":false,\"end\":" + std::to_string(log.size()) + "}");
    }

    std::mutex mutex_;
    std::condition_variable appended_;
    std::map<std::string, std::vector<std::string>> logs_;
    Server server_;
};

/// Keeps the entry of a server in the store fresh, as a server's heartbeat does.
class Heartbeat
{
public:
    Heartbeat(Store &store, std::string id, std::string service, std::string address,
              std::string zone, int slots)
        : store_(store), id_(std::move(id))
    {
        const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
        entry_ = "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\""
            + zone + "\",\"version\":1,\"slot_count\":" + std::to_string(slots)
            + ",\"cold_remaining_ms\":0,\"state\":\"ready\",\"born\":" + std::to_string(born);
        thread_ = std::thread([this] {
            for (int sequence = 1; !stopped_; ++sequence) {
                store_.put("keyed.servers", id_,
                           entry_ + ",\"sequence\":" + std::to_string(sequence) + "}");
                for (int i = 0; i < 12 && !stopped_; ++i)
                    sleepMs(100);
            }
        });
    }
    ~Heartbeat()
    {
        stopped_ = true;
        thread_.join();
    }

private:
    Store &store_;
    std::string id_;
    std::string entry_;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

/// Text of a wait status.
inline std::string describe(int status)
{
    if (WIFSIGNALED(status))
        return "killed by signal " + std::to_string(WTERMSIG(status)) + " ("
            + strsignal(WTERMSIG(status)) + ")";
    return "exit code " + std::to_string(WEXITSTATUS(status));
}

/// A gateway of the deploy file on its own loopback address.
class Gateway
{
public:
    Gateway(Record &record, const std::string &name, const std::string &store,
            const std::string &folder)
        : record_(record), name_(name), ip_(randomLoopback()),
          settings_(folder + "/" + name + ".conf"), log_(folder + "/" + name + ".log")
    {
        std::ofstream file(settings_);
        // The bounds of ivmg-lending-grown.
        file << "node_name=" << name
             << "\nrole=gateway\nmachine_class=front\nserves=front\nip=" << ip_
             << "\nzone=port-louis\nregion=mu-north\nzones.port-louis=mu-north\nlisten.front="
             << ip_ << ":8227\nlisten.ready=" << ip_
             << ":8220\ninternal_port_range=7340,7355\nseeds=\nbootstrap=true\n"
                "in_fault_budget=false\nlimits.cpu_share=0.5\nlimits.cpu_cores=1\n"
                "limits.memory_mb=512\nlimits.max_open_files=8192\nlimits.link_mbps=200\n"
                "limits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n"
                "contracts=base,drain,config,cost,retry,recover,health,pool,engine,stream,tenants,"
                "places,pressure,platform,experts\n"
                "fault_tolerance.machines=2\nfault_tolerance.zones=1\n"
                "bounds.seed_lag_s=3\nbounds.address_reuse_s=2\nbounds.stability_window_ms=4000\n"
                "bounds.ack_ms=6000\nbounds.catch_up_s=6\nbounds.drain_ms=3000\n"
                "bounds.grace_period_s=8\nbounds.loss_slack_ms=200\n"
                "bounds.config_apply_ms=3000\nbounds.rollback_slack_ms=250\n"
                "bounds.max_stretch_ms=6000\nbounds.strict_revocation=false\n"
                "bounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\n"
                "bounds.budget_window_s=10\nbounds.budget_slack=128\nbounds.cold_overshoot=1.5\n"
                "bounds.cold_slack=5\nbounds.evacuate_ms=5000\nbounds.recovery_s=15\n"
                "bounds.pass_ms=200\nbounds.retry_after_s=0\nbounds.stall_ms=1500\n"
                "bounds.fencing_required=false\nplatform.address="
             << store
             << "\nplatform.form=log\nplatform.writes_per_s=1200\nplatform.reads_per_s=6000\n"
                "platform.parts=48\nplatform.append_ms=1.0\nplatform.record_bytes=262144\n"
                "platform.call_bytes=2097152\nplatform.keep_s=20\nplatform.ttl_min_ms=1000\n";
        file.close();
        start();
    }
    ~Gateway() { end(); }

    void end()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }

    void start()
    {
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            ::setenv("WISTERIAWIND_CONFIG", settings_.c_str(), 1);
            // The command of the role "gateway" in deploy/system.toml.
            ::execl("target/bin/wisteria-gateway", "target/bin/wisteria-gateway", "--metrics-port",
                    "7350", nullptr);
            ::_exit(127);
        }
        record_.write("gateway " + name_ + " started at " + ip_);
    }

    /// Whether the process has ended; its wait status is then in `status`.
    bool ended(int &status)
    {
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
            return false;
        pid_ = -1;
        return true;
    }

    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }

    bool waitUntilReady(int milliseconds) const;

    const std::string &ip() const { return ip_; }
    const std::string &name() const { return name_; }
    std::uint16_t port() const { return 8227; }

private:
    Record &record_;
    std::string name_;
    std::string ip_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = -1;
};

/// Opens a connection; returns -1 if that fails.
/// @param receiveBytes Size of the receive buffer; 0 leaves the default.
inline int connectTo(const std::string &ip, std::uint16_t port, int receiveBytes = 0)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBytes > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
        // The segment size of Ethernet; that of loopback is 64 KiB.
        const int segment = 1460;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    }
    const sockaddr_in address = socketAddress(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

struct Answer
{
    int status = 0;
    std::string head;
    std::string body;
    bool whole = false;
    /// How the connection ended if the answer is not whole.
    std::string end;
};

/// Reads an answer that has a length.
/// @param bytesPerSecond Speed at which to read; 0 for any.
inline Answer readAnswer(int descriptor, int timeoutMs, double bytesPerSecond = 0)
{
    Answer answer;
    std::string text;
    std::vector<char> buffer(16384);
    const auto begun = Clock::now();
    const auto deadline = begun + std::chrono::milliseconds(timeoutMs);
    std::size_t bodyAt = 0;
    std::size_t length = 0;
    while (true) {
        if (bodyAt == 0) {
            const std::size_t end = text.find("\r\n\r\n");
            if (end != std::string::npos) {
                bodyAt = end + 4;
                answer.head = text.substr(0, end + 2);
                answer.status = std::stoi(answer.head.substr(9, 3));
                length = std::stoul("0" + headerOf(answer.head, "Content-Length"));
            }
        }
        if (bodyAt != 0 && text.size() >= bodyAt + length) {
            answer.body = text.substr(bodyAt, length);
            answer.whole = true;
            return answer;
        }
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
        pollfd wanted{descriptor, POLLIN, 0};
        if (left <= 0 || ::poll(&wanted, 1, static_cast<int>(left)) <= 0) {
            answer.end = "no more bytes in time";
            break;
        }
        const ssize_t count = ::recv(descriptor, buffer.data(), buffer.size(), 0);
        if (count == 0) {
            answer.end = "the connection was closed";
            break;
        }
        if (count < 0) {
            answer.end = std::string("the connection failed: ") + std::strerror(errno);
            break;
        }
        text.append(buffer.data(), static_cast<std::size_t>(count));
        if (bytesPerSecond > 0)
            std::this_thread::sleep_until(
                begun
                + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(
                    static_cast<double>(text.size()) / bytesPerSecond)));
    }
    answer.body = bodyAt == 0 ? "" : text.substr(bodyAt);
    return answer;
}

inline bool Gateway::waitUntilReady(int milliseconds) const
{
    const auto deadline = Clock::now() + std::chrono::milliseconds(milliseconds);
    while (Clock::now() < deadline) {
        const int descriptor = connectTo(ip_, 8220);
        if (descriptor >= 0) {
            sendAll(descriptor, "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
            const Answer answer = readAnswer(descriptor, 1000);
            ::close(descriptor);
            if (answer.status == 200)
                return true;
        }
        sleepMs(100);
    }
    return false;
}

/// A temporary folder that is removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string name = "/tmp/review-XXXXXX";
        path_ = ::mkdtemp(name.data());
    }
    ~TemporaryFolder() { remove(); }

    void remove()
    {
        if (path_.empty())
            return;
        if (const char *keep = std::getenv("KEEP_LOGS"); keep != nullptr) {
            std::cerr << "logs kept in " << path_ << std::endl;
            path_.clear();
            return;
        }
        const std::string command = "rm -rf '" + path_ + "'";
        if (std::system(command.c_str()) != 0)
            std::cerr << "can't remove " << path_ << std::endl;
        path_.clear();
    }

    const std::string &path() const { return path_; }

private:
    std::string path_;
};

/// One route of the operator's configuration.
inline std::string route(const std::string &name, const std::string &prefix,
                         const std::string &kind, const std::string &service, int timeoutMs,
                         int attempts)
{
    return "{\"name\":\"" + name + "\",\"hostname\":\"lender.example\",\"path_prefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"service\":\"" + service + "\",\"timeout_ms\":"
        + std::to_string(timeoutMs) + ",\"target_latency_ms\":150,\"max_attempts\":"
        + std::to_string(attempts) + ",\"priority\":1,\"public\":false,\"resumable\":false}";
}

/// The operator's configuration, with one tenant whose key is "lender-key".
inline std::string configuration(int version, const std::vector<std::string> &routes,
                                 const std::vector<std::string> &services)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (std::size_t i = 0; i < routes.size(); ++i)
        text += (i > 0 ? "," : "") + routes[i];
    text += "],\"services\":[";
    for (std::size_t i = 0; i < services.size(); ++i)
        text += std::string(i > 0 ? "," : "") + "{\"name\":\"" + services[i]
            + "\",\"health_check_path\":\"/health\",\"max_connections\":110}";
    return text
        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
          "\"header_timeout_ms\":10000,\"idle_timeout_ms\":30000},"
          "\"tenants\":[{\"name\":\"north\",\"api_keys\":[\"lender-key\"]}]}";
}

/// A request of a consumer.
inline std::string consumerRequest(const std::string &method, const std::string &target,
                                   const std::string &id, int deadlineMs, const std::string &body,
                                   const std::string &fields = "")
{
    return method + " " + target + " HTTP/1.1\r\nHost: lender.example\r\nWisteriawind-Attempt-Id: "
        + id + "\r\nWisteriawind-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nAuthorization: Token lender-key\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
