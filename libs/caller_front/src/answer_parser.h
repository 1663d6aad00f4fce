#pragma once

#include "net.h"

#include <http/framing_check.h>
#include <http/header.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ej::front {

/// Incremental parser for an endpoint's answer: the header as a whole, the body in parts.
class answer_parser final : public wire::basic_parser<false> {
public:
    answer_parser();

    /// Parses `received`, the bytes that were received and not consumed yet; returns the number of
    /// those consumed. Error: `need_more`, or the fault of the answer.
    [[nodiscard]] std::size_t consume(asio::const_buffer received, error_code& error);

    /// True for an interim answer (1xx), which the final one follows.
    [[nodiscard]] bool interim() const { return status_ < first_final_status; }

    [[nodiscard]] unsigned status() const { return status_; }

    /// True for a status of success (2xx).
    [[nodiscard]] bool success() const
    {
        return status_ >= first_final_status && status_ < first_redirect;
    }

    /// The fields of the header, without those of a trailer.
    [[nodiscard]] const std::vector<http::header>& headers() const { return headers_; }

    /// The value of the field `name`; empty if there is none.
    [[nodiscard]] std::string_view header(std::string_view name) const;

    /// The part of the body received since the last call.
    [[nodiscard]] std::string take_body();

private:
    static constexpr unsigned first_final_status = 200;
    static constexpr unsigned first_redirect = 300;

    void on_request_impl(wire::verb, beast::string_view, beast::string_view, int,
                         error_code&) override;
    void on_response_impl(int code, beast::string_view, int, error_code&) override;
    void on_field_impl(wire::field, beast::string_view name, beast::string_view value,
                       error_code&) override;
    void on_header_impl(error_code&) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}
    std::size_t on_body_impl(beast::string_view body, error_code&) override;
    void on_chunk_header_impl(std::uint64_t, beast::string_view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view body, error_code&) override;
    void on_finish_impl(error_code&) override {}

    http::framing_check check_;
    unsigned status_ = 0;
    std::vector<http::header> headers_;
    std::string body_;
};

} // namespace ej::front
