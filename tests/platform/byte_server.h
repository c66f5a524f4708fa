#pragma once

#include "savory/net/http_client.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace savory {

// A server of one connection that answers with arbitrary bytes.
struct ByteServer
{
  int mListener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  int mSocket = -1;
  Endpoint mAddress;

  ByteServer()
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    bind(mListener, reinterpret_cast<sockaddr*>(&address), size);
    listen(mListener, 4);
    getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
    mAddress = { "127.0.0.1", ntohs(address.sin_port) };
  }
  ~ByteServer()
  {
    close(mListener);
    End();
  }
  ByteServer(const ByteServer&) = delete;
  ByteServer& operator=(const ByteServer&) = delete;

  bool Accept()
  {
    if (mSocket < 0) {
      mSocket = accept(mListener, nullptr, nullptr);
    }
    return mSocket >= 0;
  }
  void Write(std::string_view aBytes) const
  {
    BOOST_REQUIRE(write(mSocket, aBytes.data(), aBytes.size()) ==
                  static_cast<ssize_t>(aBytes.size()));
  }
  // Closes the connection regularly. Unread input is drained first, because it
  // would cause a reset.
  void End()
  {
    if (mSocket >= 0) {
      char request[4096];
      while (recv(mSocket, request, sizeof request, MSG_DONTWAIT) > 0) {
      }
      close(std::exchange(mSocket, -1));
    }
  }
  // Reads until the client has ended the connection; returns whether it did so
  // by a reset.
  bool IsResetByClient() const
  {
    char request[4096];
    ssize_t size = 0;
    do {
      size = recv(mSocket, request, sizeof request, MSG_DONTWAIT);
    } while (size > 0);
    return size < 0 && errno == ECONNRESET;
  }
  // Ends its side regularly; the close of the rest, with bytes unread, resets
  // the connection.
  void EndAndReset()
  {
    shutdown(mSocket, SHUT_WR);
    close(std::exchange(mSocket, -1));
  }
  // Resets the connection, whether all input was read or not.
  void Reset()
  {
    linger now{ 1, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(std::exchange(mSocket, -1));
  }
};

} // namespace savory
