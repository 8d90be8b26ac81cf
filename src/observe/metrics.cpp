/// Export of the metrics as text.
#include <eelgrassrail/observe/metrics.hpp>

#include <sstream>

namespace eelgrassrail
{
namespace
{

std::string escaped(const std::string& text)
{
    std::string result;
    for (const char c : text)
    {
        if (c == '"' || c == '\\')
            result.push_back('\\');
        result.push_back(c == '\n' ? ' ' : c);
    }
    return result;
}

void write_histogram(std::ostream& out, const std::string& labels, const histogram& values)
{
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < histogram::buckets; ++n)
    {
        if (values.counts().at(n) == 0)
            continue;
        sum += values.counts().at(n);
        out << "eelgrassrail_request_ms_bucket{" << labels << ",le=\"" << histogram::bound_ms(n)
            << "\"} " << sum << '\n';
    }
    out << "eelgrassrail_request_ms_bucket{" << labels << ",le=\"+Inf\"} " << values.count()
        << '\n';
    out << "eelgrassrail_request_ms_sum{" << labels << "} " << values.sum_ms() << '\n';
    out << "eelgrassrail_request_ms_count{" << labels << "} " << values.count() << '\n';
}

} // namespace

void metrics::on_answer(const request_label& label, error_kind kind, boot_clock::duration took)
{
    ++m_kinds[kind];
    const bool is_known = m_requests.contains(label);
    if (is_known || m_requests.size() < max_request_labels)
        m_requests[label].add(took);
    else
        m_requests[{"other", label.service, label.request_class}].add(took);
}

std::string metrics::to_text() const
{
    std::ostringstream out;
    out << "# TYPE eelgrassrail_answers_total counter\n";
    for (const auto& [kind, n] : m_kinds)
        out << "eelgrassrail_answers_total{kind=\"" << name_of(kind) << "\",outcome=\""
            << name_of(describe(kind).result) << "\"} " << n << '\n';
    out << "# TYPE eelgrassrail_request_ms histogram\n";
    for (const auto& [label, values] : m_requests)
        write_histogram(out,
                        "tenant=\"" + escaped(label.tenant) + "\",service=\"" +
                            escaped(label.service) + "\",class=\"" + escaped(label.request_class) +
                            "\"",
                        values);
    for (const auto& [name, n] : m_counters)
        out << "eelgrassrail_" << name << "_total " << n << '\n';
    for (const auto& [name, value] : m_gauges)
        out << "eelgrassrail_" << name << ' ' << value << '\n';
    return out.str();
}

} // namespace eelgrassrail
