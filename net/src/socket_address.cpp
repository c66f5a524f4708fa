#include "savory/net/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace savory {

std::optional<sockaddr_in>
ParseSocketAddress(const std::string& aAddress, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  if (inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

std::string
FormatPeerAddress(const sockaddr* aPeer)
{
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET,
            &reinterpret_cast<const sockaddr_in*>(aPeer)->sin_addr,
            text,
            sizeof text);
  return text;
}

int
LocalPort(evutil_socket_t aSocket)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void
ResetOnClose(evutil_socket_t aSocket)
{
  linger reset{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

bool
IsResetByPeer(evutil_socket_t aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  return getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
         info.tcpi_state == TCP_CLOSE;
}

evconnlistener*
ListenOn(EventLoop& aLoop,
         const std::string& aAddress,
         int aPort,
         evconnlistener_cb aAccept,
         void* aSelf)
{
  auto address = ParseSocketAddress(aAddress, aPort);
  if (!address) {
    return nullptr;
  }
  return evconnlistener_new_bind(aLoop.Base(),
                                 aAccept,
                                 aSelf,
                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                 SOMAXCONN,
                                 reinterpret_cast<sockaddr*>(&*address),
                                 sizeof *address);
}

} // namespace savory
