#include "Column.h"

#include "table/Table.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace bergamotweir::table {

namespace {

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '.' || character == '_'
           || character == '-';
}

bool isName(std::string_view cell)
{
    return !cell.empty() && cell.size() <= MaxNameLength && std::ranges::all_of(cell, isNameCharacter);
}

template<typename Number>
bool readNumber(std::string_view cell, Number min, Number max, Number &number)
{
    const auto [end, error] = std::from_chars(cell.data(), cell.data() + cell.size(), number);
    // Both comparisons are false for a NaN, which is thus rejected.
    return error == std::errc() && end == cell.data() + cell.size() && number >= min && number <= max;
}

template<typename Number>
std::string writeNumber(Number number)
{
    std::array<char, 32> text{};
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() ? std::string(text.data(), end) : std::string();
}

template<auto Member>
bool readName(std::string_view cell, Row &row)
{
    row.*Member = cell;
    return cell == Any || isName(cell);
}

template<auto Member>
std::string writeName(const Row &row)
{
    return row.*Member;
}

void keepName(Row &, const Row &)
{
}

template<auto Member>
void fillUnset(Row &row, const Row &from)
{
    if (!(row.*Member).has_value()) {
        row.*Member = from.*Member;
    }
}

template<auto Member, typename Range>
bool read(std::string_view cell, Row &row)
{
    auto number = Range::Min;
    if (!readNumber(cell, Range::Min, Range::Max, number)) {
        return false;
    }
    row.*Member = typename std::remove_cvref_t<decltype(row.*Member)>::value_type(number);
    return true;
}

template<auto Member>
std::string write(const Row &row)
{
    return (row.*Member).has_value() ? writeNumber(*(row.*Member)) : std::string();
}

template<auto Member>
std::string writeTime(const Row &row)
{
    return (row.*Member).has_value() ? writeNumber((row.*Member)->count()) : std::string();
}

template<auto Member>
bool readYesNo(std::string_view cell, Row &row)
{
    row.*Member = cell == "yes";
    return cell == "yes" || cell == "no";
}

template<auto Member>
std::string writeYesNo(const Row &row)
{
    if (!(row.*Member).has_value()) {
        return {};
    }
    return *(row.*Member) ? "yes" : "no";
}

struct WeightRange {
    static constexpr double Min = 0;
    static constexpr double Max = 1000;
};

struct LimitRange {
    static constexpr unsigned Min = 0;
    static constexpr unsigned Max = 10000;
};

struct TimeMsRange {
    static constexpr long Min = 1;
    static constexpr long Max = 600000;
};

struct PercentRange {
    static constexpr double Min = 1;
    static constexpr double Max = 99.9999;
};

constexpr std::string_view NameRule = "a name of at most 64 letters, digits, '.', '_' and '-', nor *";
constexpr std::string_view TimeRule = "a whole number of milliseconds from 1 to 600000";
constexpr std::string_view PercentRule = "a percentage from 1 to 99.9999";
constexpr std::string_view YesNoRule = "yes or no";

constexpr std::array NameColumns{
    Column{"service", NameRule, "*", false, readName<&Row::service>, writeName<&Row::service>, keepName},
    Column{"failure_domain",
           NameRule,
           "*",
           false,
           readName<&Row::failureDomain>,
           writeName<&Row::failureDomain>,
           keepName},
    Column{"upstream", NameRule, "*", false, readName<&Row::upstream>, writeName<&Row::upstream>, keepName},
};

constexpr std::array ValueColumns{
    Column{"weight",
           "a number from 0 to 1000",
           "1",
           false,
           read<&Row::weight, WeightRange>,
           write<&Row::weight>,
           fillUnset<&Row::weight>},
    Column{"limit",
           "a whole number from 0 to 10000",
           "12",
           false,
           read<&Row::limit, LimitRange>,
           write<&Row::limit>,
           fillUnset<&Row::limit>},
    Column{"keyed", YesNoRule, "yes", true, readYesNo<&Row::keyed>, writeYesNo<&Row::keyed>, fillUnset<&Row::keyed>},
    Column{"timeout_ms",
           TimeRule,
           "1000",
           true,
           read<&Row::timeout, TimeMsRange>,
           writeTime<&Row::timeout>,
           fillUnset<&Row::timeout>},
    Column{"slo_availability",
           PercentRule,
           "99.9",
           true,
           read<&Row::sloAvailability, PercentRange>,
           write<&Row::sloAvailability>,
           fillUnset<&Row::sloAvailability>},
    Column{"slo_latency_ms",
           TimeRule,
           "14",
           true,
           read<&Row::sloLatency, TimeMsRange>,
           writeTime<&Row::sloLatency>,
           fillUnset<&Row::sloLatency>},
    Column{"slo_percentile",
           PercentRule,
           "99",
           true,
           read<&Row::sloPercentile, PercentRange>,
           write<&Row::sloPercentile>,
           fillUnset<&Row::sloPercentile>},
    Column{"in_service",
           YesNoRule,
           "yes",
           false,
           readYesNo<&Row::inService>,
           writeYesNo<&Row::inService>,
           fillUnset<&Row::inService>},
};

} // namespace

std::span<const Column> nameColumns()
{
    return NameColumns;
}

std::span<const Column> valueColumns()
{
    return ValueColumns;
}

} // namespace bergamotweir::table
