#pragma once

#include "asio_settings.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <functional>

namespace ej::peer {

// Both roles use one configuration, so that both have the same connection type. It is the client's,
// which has the random source that client frames are masked with.
using socket_config = websocketpp::config::asio_client;
using acceptor_endpoint = websocketpp::server<socket_config>;
using initiator_endpoint = websocketpp::client<socket_config>;
using socket_connection = initiator_endpoint::connection_ptr;
using socket_message = initiator_endpoint::message_ptr;

/// Bytes that were given to a connection and are not sent yet.
inline const auto buffered_bytes =
    std::mem_fn(&initiator_endpoint::connection_type::get_buffered_amount);

/// The close code that this end sent.
inline const auto local_close_code =
    std::mem_fn(&initiator_endpoint::connection_type::get_local_close_code);

/// The close code that the other end sent.
inline const auto remote_close_code =
    std::mem_fn(&initiator_endpoint::connection_type::get_remote_close_code);

/// The TCP socket under a connection.
inline const auto tcp_socket = std::mem_fn(&initiator_endpoint::connection_type::get_raw_socket);

/// A message's bytes.
inline const auto payload_of = std::mem_fn(&socket_message::element_type::get_payload);

} // namespace ej::peer
