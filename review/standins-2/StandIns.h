#pragma once

// Small stand-ins for the scripts of this review: the platform's store, backend servers, callers
// and the processes under test. Each connection has a thread of its own.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Writes lines with the time since its construction to a file and keeps them in order.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex mutex_;
    std::string path_;
    Clock::time_point begin_ = Clock::now();
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/// A request or a response as it was read.
struct Message
{
    std::string startLine;
    Fields fields;
    std::string body;
    /// The value of a field; empty if there is none.
    std::string field(const std::string &name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/// A connected socket with a read buffer.
class Peer
{
public:
    explicit Peer(int descriptor) : descriptor_(descriptor) { }
    ~Peer();
    Peer(const Peer &) = delete;
    Peer &operator=(const Peer &) = delete;

    bool send(const std::string &bytes);
    /// Reads one request or response; nothing if the connection ends or the time is over.
    std::optional<Message> read(milliseconds timeout, bool isHead = false);
    /// Whether the other side has closed the connection; waits at most `timeout`.
    bool closedWithin(milliseconds timeout);
    /// Closes with a TCP reset.
    void reset();
    void close();
    int descriptor() const { return descriptor_; }

private:
    bool fill(Clock::time_point until);

    int descriptor_;
    std::string buffer_;
};

std::unique_ptr<Peer> connectTo(const std::string &ip, int port, milliseconds timeout);

/// Listens on a port and runs a function for each connection in a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Peer &)>;
    Server(const std::string &ip, int port, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    int port() const { return port_; }
    bool stopping() const { return stopping_; }
    /// Closes the listening socket and resets all connections, as the end of a process does.
    void stop();

private:
    void acceptAll();

    Handler handler_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::set<Peer *> peers_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// The platform's store: topics of keyed records, as far as a gateway uses them.
class Store
{
public:
    explicit Store(const std::string &ip);
    ~Store();
    int port() const { return server_->port(); }
    /// Appends a record; an empty value removes the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// While the store is down it resets its channels, and nothing is written.
    void setDown(bool down);

private:
    struct Item
    {
        std::string key;
        std::string value;
    };
    void serve(Peer &peer);
    std::string answer(const Message &request);
    std::string append(const std::string &topic, const Message &request);
    std::string read(const std::string &topic, std::uint64_t from, milliseconds wait);
    std::string newest(const std::string &topic);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<Item>> topics_;
    std::atomic<bool> ending_ = false;
    std::atomic<bool> down_ = false;
    std::unique_ptr<Server> server_;
};

/// Text of a response with a length.
std::string response(int status, const std::string &reason, const Fields &fields,
                     const std::string &body);

/// A process under test.
class Process
{
public:
    Process(const std::vector<std::string> &command, const std::string &settings,
            const std::string &log);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    void signal(int number) const;
    /// Waits for the end.
    bool ended(milliseconds timeout);

private:
    pid_t pid_ = -1;
    bool reaped_ = false;
};

/// A loopback address that no other process of the machine is likely to use.
std::string freeLoopbackAddress();
int freePort(const std::string &ip);

/// Settings of a process of the small deployment.
struct Place
{
    std::string name;
    std::string ip;
    int callers = 0;
    int readiness = 0;
    int internal = 0;
    std::string app;
};
std::string settingsText(const Place &place, const std::string &store);

/// Waits until a condition holds.
bool waitUntil(milliseconds timeout, const std::function<bool()> &condition);

/// Status of GET /readiness; 0 if there is no answer.
int readiness(const Place &place);

} // namespace review
