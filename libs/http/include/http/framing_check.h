#pragma once

#include <http/framing_fault.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ej::http {

/// Checks the header of a request or an answer strictly, line by line, before a parser consumes it.
/// Accepted are only bodies with one decimal length, with the single transfer coding `chunked`, or
/// with neither, and of answers only those with a status from 100 to 599.
class framing_check {
public:
    /// Checks what is new in `unconsumed`, the received bytes that the parser has not consumed.
    [[nodiscard]] framing_fault inspect(std::string_view unconsumed);

    [[nodiscard]] framing_fault fault() const { return fault_; }

    /// Notes that the parser has consumed `count` bytes.
    void consumed(std::size_t count);

private:
    void read_line(std::string_view line);
    void read_field(std::string_view line);
    void read_start_line(std::string_view line);
    [[nodiscard]] framing_fault fault_of_header() const;

    std::string line_;          // Begun and not ended yet.
    std::size_t inspected_ = 0; // Of the bytes not consumed.
    std::vector<std::string> codings_;
    std::size_t lengths_ = 0;
    framing_fault fault_ = framing_fault::none;
    bool within_fields_ = false;
    bool supports_codings_ = true; // Not with HTTP/1.0.
    bool done_ = false;
};

} // namespace ej::http
