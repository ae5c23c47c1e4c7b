#pragma once

#include <string>

#include "Gateway/ScriptedServer.h"

namespace wisteria::gateway_tests {

/// A header field that marks an answer as the backend server's own.
inline constexpr const char *seal = "Wisteriawind-Response-Seal: s\r\n";

/// The header fields that mark an answer as the backend server's own answer to a request.
std::string ownFields(const SeenRequest &request);

/// A backend server's complete answer to a request, with the seal.
std::string sealed(const SeenRequest &request, int status, const std::string &body);

/// The head of a backend server's own answer that has neither a length nor chunks, so that it ends
/// with its connection.
std::string headWithoutLength(const SeenRequest &request, int status,
                              const std::string &contentType);

/// One event of a stream, with its number in id and data.
std::string eventText(int id);

/// The head of an answer that streams events in chunks.
std::string streamHead(const SeenRequest &request);

/// Bytes as one chunk of a chunked body.
std::string chunk(const std::string &bytes);

} // namespace wisteria::gateway_tests
