#include <http/framing_check.h>

#include <core/text.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace ej::http {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view token_symbols = "!#$%&'*+-.^_`|~";
constexpr unsigned char first_visible = 0x20;
constexpr unsigned char delete_character = 0x7f;

bool is_token_character(char character)
{
    const bool letter =
        (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return letter || (character >= '0' && character <= '9') ||
           token_symbols.find(character) != std::string_view::npos;
}

/// True for control characters other than a tab, a carriage return within a line among them.
bool is_forbidden(char character)
{
    const auto value = static_cast<unsigned char>(character);
    return (value < first_visible && character != '\t') || value == delete_character;
}

bool is_chunked(std::string_view coding)
{
    return core::equal_ignoring_case(coding, "chunked");
}

/// True for the first line of an answer whose status is outside 100 to 599 (RFC 9110, 15).
bool has_invalid_status(std::string_view line)
{
    constexpr std::string_view protocol = "HTTP/";
    constexpr unsigned first_status = 100;
    constexpr unsigned last_status = 599;
    if (!line.starts_with(protocol)) {
        return false; // Of a request: a method has no slash.
    }
    const auto words = core::split(line, ' ');
    const auto status = words.size() < 2 ? std::nullopt : core::parse_number<unsigned>(words[1]);
    return !status || *status < first_status || *status > last_status;
}

bool is_length(std::string_view value)
{
    // A signed type would accept a minus sign.
    return core::parse_number<std::uint64_t>(value).has_value();
}

} // namespace

framing_fault framing_check::inspect(std::string_view unconsumed)
{
    while (!done_ && fault_ == framing_fault::none && inspected_ < unconsumed.size()) {
        const auto rest = unconsumed.substr(inspected_);
        const auto feed = rest.find('\n');
        const auto taken = rest.substr(0, feed == std::string_view::npos ? feed : feed + 1);
        line_ += taken;
        inspected_ += taken.size();
        if (feed != std::string_view::npos) {
            read_line(std::exchange(line_, {}));
        }
    }
    return fault_;
}

void framing_check::consumed(std::size_t count)
{
    inspected_ -= std::min(inspected_, count);
}

void framing_check::read_line(std::string_view line)
{
    if (!line.ends_with(line_end)) {
        fault_ = framing_fault::malformed;
        return;
    }
    line.remove_suffix(line_end.size());
    if (std::ranges::any_of(line, is_forbidden)) {
        fault_ = framing_fault::malformed;
    }
    else if (!std::exchange(within_fields_, true)) {
        read_start_line(line);
    }
    else if (line.empty()) {
        done_ = true;
        fault_ = fault_of_header();
    }
    else {
        read_field(line);
    }
}

void framing_check::read_start_line(std::string_view line)
{
    constexpr std::string_view old_version = "HTTP/1.0";
    // A status line begins with the version, a request line ends with it.
    supports_codings_ = !line.starts_with(old_version) && !line.ends_with(old_version);
    if (has_invalid_status(line)) {
        fault_ = framing_fault::malformed;
    }
}

void framing_check::read_field(std::string_view line)
{
    // A folded line has no name either.
    const auto name = line.substr(0, line.find(':'));
    if (name.empty() || name.size() == line.size() ||
        !std::ranges::all_of(name, is_token_character)) {
        fault_ = framing_fault::malformed;
        return;
    }
    const auto value = core::trimmed(line.substr(name.size() + 1));
    if (core::equal_ignoring_case(name, "Content-Length")) {
        // Recipients differ in a list of equal lengths and in a repeated field.
        if (!is_length(value) || ++lengths_ > 1) {
            fault_ = framing_fault::malformed;
        }
    }
    else if (core::equal_ignoring_case(name, "Transfer-Encoding")) {
        std::ranges::for_each(core::split(value, ','), [this](std::string_view coding) {
            codings_.emplace_back(core::trimmed(coding));
        });
    }
}

framing_fault framing_check::fault_of_header() const
{
    if (codings_.empty()) {
        return framing_fault::none;
    }
    const bool ends_chunked =
        is_chunked(codings_.back()) && std::ranges::count_if(codings_, is_chunked) == 1;
    const bool empty_coding = std::ranges::any_of(codings_, &std::string::empty);
    if (!supports_codings_ || lengths_ > 0 || !ends_chunked || empty_coding) {
        return framing_fault::malformed;
    }
    return codings_.size() == 1 ? framing_fault::none : framing_fault::unknown_coding;
}

} // namespace ej::http
