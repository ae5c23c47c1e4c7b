#include "Connection/FrameCodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "Peer.pb.h"

using namespace wisteria;

TEST_CASE("Frames are decoded unchanged, wherever the stream is split")
{
    const bool holds = rc::check([](const std::vector<std::string> &bodies) {
        std::string stream;
        for (const std::string &body : bodies) {
            v1::RunFrame frame;
            frame.set_body(body);
            appendFrame(stream, frame);
        }
        FrameReader reader;
        std::vector<std::string> received;
        std::size_t position = 0;
        while (position < stream.size()) {
            const auto piece = *rc::gen::inRange<std::size_t>(1, 9);
            reader.feed(std::string_view(stream).substr(position, piece));
            position += piece;
            while (auto content = reader.next().value()) {
                v1::RunFrame frame;
                RC_ASSERT(frame.ParseFromString(*content));
                received.push_back(frame.body());
            }
        }
        RC_ASSERT(received == bodies);
        RC_ASSERT(!reader.hasUnreadBytes());
    });
    CHECK(holds);
}

TEST_CASE("A frame that declares more than the maximum size is an error before its content arrives")
{
    FrameReader reader;
    reader.feed(std::string("\xff\xff\xff\xff", 4));
    const auto result = reader.next();
    REQUIRE(result.has_error());
    CHECK(result.error().kind == ErrorKind::BadInput);
}
