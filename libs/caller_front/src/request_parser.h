#pragma once

#include "net.h"

#include <http/header.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ej::front {

/// Incremental parser for a caller's request. Its memory grows with the bytes received, not with
/// the length that the caller announces.
class request_parser final : public wire::basic_parser<true> {
public:
    /// `max_body_bytes`: limit of the body.
    request_parser(std::size_t max_header_bytes, std::size_t max_body_bytes);

    [[nodiscard]] const std::string& method() const { return method_; }
    [[nodiscard]] const std::string& target() const { return target_; }
    [[nodiscard]] int version() const { return version_; }

    /// The fields of the header, without those of a trailer.
    [[nodiscard]] std::vector<http::header>& headers() { return headers_; }

    /// The value of the field `name`; empty if there is none.
    [[nodiscard]] std::string_view header(std::string_view name) const;

    /// The body received so far.
    [[nodiscard]] std::string& body() { return body_; }

    /// Bytes allocated for the header and the body.
    [[nodiscard]] std::size_t allocated() const { return header_bytes_ + body_.capacity(); }

private:
    void on_request_impl(wire::verb, beast::string_view method, beast::string_view target,
                         int version, error_code&) override;
    void on_response_impl(int, beast::string_view, int, error_code&) override {}
    void on_field_impl(wire::field, beast::string_view name, beast::string_view value,
                       error_code&) override;
    void on_header_impl(error_code&) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}
    std::size_t on_body_impl(beast::string_view part, error_code&) override;
    void on_chunk_header_impl(std::uint64_t, beast::string_view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view part, error_code&) override;
    void on_finish_impl(error_code&) override {}
    std::size_t append(beast::string_view part);

    std::size_t max_body_bytes_;
    std::string method_;
    std::string target_;
    int version_ = 0;
    std::vector<http::header> headers_;
    std::size_t header_bytes_ = 0;
    std::string body_;
};

} // namespace ej::front
