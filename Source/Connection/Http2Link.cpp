#include "Connection/Http2Link.h"

#include <array>
#include <cerrno>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace wisteria {

namespace {

constexpr std::size_t readBytes = 64 * 1024;
constexpr std::size_t writeBytes = 64 * 1024;
/// Maximum number of reads in one loop iteration, so that one busy peer can't starve the others.
constexpr int readsPerRound = 4;

} // namespace

Http2Link::Http2Link(EventLoop &loop, nghttp2_session *session, int descriptor,
                     std::function<void()> closed)
    : loop_(loop), session_(session), descriptor_(descriptor), closed_(std::move(closed)),
      lastReceivedAt_(monotonicNow())
{
    updateInterest();
    flushSoon();
}

Http2Link::~Http2Link()
{
    *alive_ = false;
    loop_.unwatch(descriptor_);
    ::close(descriptor_);
    nghttp2_session_del(session_);
}

void Http2Link::flushSoon()
{
    if (flushScheduled_ || closing_)
        return;
    flushScheduled_ = true;
    loop_.defer([this, alive = alive_] {
        if (!*alive)
            return;
        flushScheduled_ = false;
        flush();
    });
}

void Http2Link::flush()
{
    while (!closing_) {
        while (pending_.size() - sent_ < writeBytes) {
            const std::uint8_t *bytes = nullptr;
            const ssize_t length = nghttp2_session_mem_send(session_, &bytes);
            if (length < 0)
                return close();
            if (length == 0)
                break;
            pending_.append(reinterpret_cast<const char *>(bytes), length);
        }
        if (sent_ == pending_.size())
            break;
        const ssize_t sent = ::send(descriptor_, pending_.data() + sent_, pending_.size() - sent_,
                                    MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent <= 0)
            return close();
        sent_ += sent;
        if (sent_ == pending_.size()) {
            pending_.clear();
            sent_ = 0;
        }
    }
    if (closing_)
        return;
    updateInterest();
    if (!nghttp2_session_want_read(session_) && !nghttp2_session_want_write(session_)
        && pending_.empty())
        close();
}

void Http2Link::ready(Interest interest)
{
    if (interest.read)
        receive();
    if (interest.write)
        flush();
}

void Http2Link::receive()
{
    static thread_local std::array<std::uint8_t, readBytes> buffer;
    for (int round = 0; round < readsPerRound && !closing_; ++round) {
        const ssize_t length = ::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (length < 0 && errno == EINTR)
            continue;
        if (length <= 0)
            return close();
        lastReceivedAt_ = monotonicNow();
        if (nghttp2_session_mem_recv(session_, buffer.data(), length) < 0)
            return close();
        if (static_cast<std::size_t>(length) < buffer.size())
            break;
    }
    flushSoon();
}

void Http2Link::updateInterest()
{
    const Interest wanted{.read = true, .write = !pending_.empty()};
    if (wanted == interest_)
        return;
    interest_ = wanted;
    loop_.watch(descriptor_, wanted, [this](Interest interest) { ready(interest); });
}

void Http2Link::close()
{
    if (closing_)
        return;
    closing_ = true;
    loop_.unwatch(descriptor_);
    loop_.defer([this, alive = alive_] {
        if (*alive)
            closed_();
    });
}

} // namespace wisteria
