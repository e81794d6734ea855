// What a gateway may take for a response: RFC 9110, section 15, and RFC 9112, sections 2.2, 4, 5.1, 5.2, 6.1, 6.3, 7.1
// and 8, one row for each rule, for tests of every reader of responses.
#pragma once

#include <array>
#include <charconv>
#include <string>
#include <utility>
#include <vector>

namespace carawaylatch::testing
{

struct AnswerRow
{
    std::string rule; // section and what the response does
    std::string bytes; // the server closes the connection after them, in order
    bool isWhole = false; // the response is complete; else its receiver must not take any part of it for an answer
};

// Collects the rows that fail, so that a test reports all of them.
class FailedRows
{
public:
    void check(bool holds, const std::string &text)
    {
        constexpr std::size_t MaxTextBytes = 400;
        if (!holds) {
            m_text += "\n" + text.substr(0, MaxTextBytes);
        }
    }
    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }

private:
    std::string m_text;
};

// The rows of a response with this body. `fields` identify a proper response; each ends with CRLF.
class AnswerTable
{
public:
    AnswerTable(std::string fields, std::string body)
        : m_fields(std::move(fields))
        , m_body(std::move(body))
    {
        m_size = std::to_string(m_body.size());
        std::array<char, 20> digits{};
        m_hexSize = std::string(digits.data(), std::to_chars(digits.data(), digits.data() + digits.size(), m_body.size(), 16).ptr);
        m_length = "Content-Length: " + m_size + "\r\n";
        m_chunks = m_hexSize + "\r\n" + m_body + "\r\n0\r\n\r\n";
        m_whole = withStatusLine("HTTP/1.1 200 OK");
    }

    [[nodiscard]] std::vector<AnswerRow> rows() const
    {
        std::vector<AnswerRow> out;
        for (const auto &section : {wholeRows(), lineRows(), statusLineRows(), nameRows(), foldRows(), codingRows(), lengthRows(), chunkRows(), endRows(),
                                    interimRows(), statusRows()}) {
            out.insert(out.end(), section.begin(), section.end());
        }
        return out;
    }

private:
    [[nodiscard]] std::string withStatusLine(const std::string &line) const
    {
        return line + "\r\n" + m_fields + m_length + "\r\n" + m_body;
    }
    [[nodiscard]] std::string withField(const std::string &line) const
    {
        return m_ok + m_fields + line + "\r\n" + m_length + "\r\n" + m_body;
    }
    [[nodiscard]] std::string withFraming(const std::string &lines, const std::string &content) const
    {
        return m_ok + m_fields + lines + "\r\n" + content;
    }
    [[nodiscard]] std::string inChunks(const std::string &content) const
    {
        return m_ok + m_fields + m_chunked + "\r\n" + content;
    }

    // The three ways to mark the end of a body.
    [[nodiscard]] std::vector<AnswerRow> wholeRows() const
    {
        return {
            {"a length", m_whole, true},
            {"chunks", inChunks(m_chunks), true},
            {"the end of the connection", withFraming("", m_body), true},
        };
    }

    // RFC 9112, section 2.2.
    [[nodiscard]] std::vector<AnswerRow> lineRows() const
    {
        return {
            {"9112/2.2: an empty line before the status line", "\r\n" + m_whole},
            {"9112/2.2: LF alone ends the status line", "HTTP/1.1 200 OK\n" + m_fields + m_length + "\r\n" + m_body},
            {"9112/2.2: LF alone ends a field", withField("X-A: b\nX-B: c")},
            {"9112/2.2: LF alone ends the length", withFraming("Content-Length: " + m_size + "\n", m_body)},
            {"9112/2.2: LF alone ends the transfer coding", withFraming("Transfer-Encoding: chunked\n", m_chunks)},
            {"9112/2.2: LF alone ends the head", m_ok + m_fields + m_length + "\n" + m_body},
            {"9112/2.2: CR alone in a value", withField("X-A: b\rc")},
            {"9112/2.2: a blank before the first field", m_ok + " X-A: b\r\n" + m_fields + m_length + "\r\n" + m_body},
            {"9112/2.2: NUL in a value", withField(std::string("X-A: b\0c", 8))},
        };
    }

    // RFC 9112, section 4.
    [[nodiscard]] std::vector<AnswerRow> statusLineRows() const
    {
        return {
            {"9112/4: no reason", withStatusLine("HTTP/1.1 200 "), true},
            {"9112/4: another reason", withStatusLine("HTTP/1.1 200 All is well"), true},
            {"9112/4: a control byte in the reason", withStatusLine("HTTP/1.1 200 O\x01K")},
            {"9112/4: two digits", withStatusLine("HTTP/1.1 20 OK")},
            {"9112/4: four digits", withStatusLine("HTTP/1.1 2000 OK")},
            {"9112/4: a letter in the status", withStatusLine("HTTP/1.1 2x0 OK")},
            {"9112/4: a sign", withStatusLine("HTTP/1.1 +20 OK")},
            {"9112/4: two blanks", withStatusLine("HTTP/1.1  200 OK")},
            {"9112/4: a tab", withStatusLine("HTTP/1.1\t200 OK")},
            {"9112/4: no status", withStatusLine("HTTP/1.1 OK")},
            {"9112/4: no version", withStatusLine("200 OK")},
            {"9112/4: another protocol", withStatusLine("ICY 200 OK")},
            {"9112/4: a lower-case protocol", withStatusLine("http/1.1 200 OK")},
            {"9112/4: another major version", withStatusLine("HTTP/2.0 200 OK")},
            {"9112/4: no head at all", m_body},
        };
    }

    // RFC 9112, section 5.1.
    [[nodiscard]] std::vector<AnswerRow> nameRows() const
    {
        return {
            {"9112/5.1: a blank before the colon", withField("X-A : b")},
            {"9112/5.1: a tab before the colon", withField("X-A\t: b")},
            {"9112/5.1: a blank before the colon of the length", withFraming("Content-Length : " + m_size + "\r\n", m_body)},
            {"9112/5.1: a blank before the colon of the transfer coding", withFraming("Transfer-Encoding : chunked\r\n", m_chunks)},
            {"9112/5.1: a blank in a name", withField("X A: b")},
            {"9112/5.1: a blank in the name of the length", withFraming("Content Length: " + m_size + "\r\n", m_body)},
            {"9112/5.1: a control byte in a name", withField("X\x01"
                                                             "A: b")},
            {"9112/5.1: NUL in a name", withField(std::string("X\0A: b", 6))},
            {"9112/5.1: CR in a name", withField("X\rA: b")},
            {"9112/5.1: DEL in a name", withField("X\x7f"
                                                  "A: b")},
            {"9112/5.1: a control byte before the name of the length", withFraming("\x01"
                                                                                   "Content-Length: "
                                                                                       + m_size + "\r\n",
                                                                                   m_body)},
            {"9112/5.1: a control byte after the name of the transfer coding", withFraming("Transfer-Encoding\x0b: chunked\r\n", m_chunks)},
            {"9112/5.1: a byte above ASCII in a name", withField("X\xe4"
                                                                 "A: b")},
            {"9112/5.1: a separator in a name", withField("X(A): b")},
            {"9112/5.1: an empty name", withField(": b")},
            {"9112/5.1: no colon", withField("X-A")},
            {"9112/5.1: blanks around a value", withField("X-A: \t b \t "), true},
            {"9112/5.1: an empty value", withField("X-A:"), true},
        };
    }

    // RFC 9112, section 5.2.
    [[nodiscard]] std::vector<AnswerRow> foldRows() const
    {
        return {
            {"9112/5.2: a folded value", withField("X-A: b\r\n c")},
            {"9112/5.2: a value folded with a tab", withField("X-A: b\r\n\tc")},
            {"9112/5.2: a value folded twice", withField("X-A: b\r\n c\r\n d")},
            {"9112/5.2: a fold with no more than blanks", withField("X-A: b\r\n \t ")},
            {"9112/5.2: a folded value of blanks", withField("X-A:\r\n b")},
            {"9112/5.2: a fold behind the fields that identify the response", withFraming(" c\r\n" + m_length, m_body)},
            {"9112/5.2: a fold with a tab behind these", withFraming("\tc\r\n" + m_length, m_body)},
            {"9112/5.2: a fold behind these, in chunks", withFraming(" c\r\n" + m_chunked, m_chunks)},
            {"9112/5.2: a fold behind these, up to the end of the connection", withFraming(" c\r\n", m_body)},
            {"9112/5.2: a fold that looks like a field", withFraming(" X-A: b\r\n" + m_length, m_body)},
            {"9112/5.2: a fold at the end of the head", withFraming(m_length + " \r\n", m_body)},
            {"9112/5.2: a fold in an interim response", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n y\r\n\r\n" + m_whole},
            {"9112/5.2: a folded length", withFraming("Content-Length: " + m_size + "\r\n 0\r\n", m_body)},
            {"9112/5.2: a folded transfer coding", withFraming("Transfer-Encoding: chunked\r\n ,gzip\r\n", m_chunks)},
        };
    }

    // RFC 9112, section 6.1.
    [[nodiscard]] std::vector<AnswerRow> codingRows() const
    {
        return {
            {"9112/6.1: a length and chunks", withFraming(m_length + m_chunked, m_chunks)},
            {"9112/6.1: chunks and a length", withFraming(m_chunked + m_length, m_chunks)},
            {"9112/6.1: chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + m_fields + m_chunked + "\r\n" + m_chunks},
            {"9112/6.1: an unknown coding", withFraming("Transfer-Encoding: gzip\r\n", m_body)},
            {"9112/6.1: an unknown coding and a length", withFraming("Transfer-Encoding: gzip\r\n" + m_length, m_body)},
            {"9112/6.1: an unknown coding before chunks", withFraming("Transfer-Encoding: gzip, chunked\r\n", m_chunks)},
            {"9112/6.1: an unknown coding after chunks", withFraming("Transfer-Encoding: chunked, gzip\r\n", m_chunks)},
            {"9112/6.1: chunks twice", withFraming("Transfer-Encoding: chunked, chunked\r\n", m_chunks)},
            {"9112/6.1: chunks in two fields", withFraming(m_chunked + m_chunked, m_chunks)},
            {"9112/6.1: an empty coding", withFraming("Transfer-Encoding:\r\n", m_body)},
        };
    }

    // RFC 9112, section 6.3.
    [[nodiscard]] std::vector<AnswerRow> lengthRows() const
    {
        return {
            {"9112/6.3: lengths that differ", withFraming(m_length + "Content-Length: 1\r\n", m_body)},
            {"9112/6.3: lengths that differ, in one field", withFraming("Content-Length: " + m_size + ", 1\r\n", m_body)},
            {"9112/6.3: a negative length", withFraming("Content-Length: -1\r\n", m_body)},
            {"9112/6.3: a length with a sign", withFraming("Content-Length: +" + m_size + "\r\n", m_body)},
            {"9112/6.3: a hexadecimal length", withFraming("Content-Length: 0x10\r\n", m_body)},
            {"9112/6.3: an empty length", withFraming("Content-Length:\r\n", m_body)},
            {"9112/6.3: a length beyond 64 bits", withFraming("Content-Length: 18446744073709551617\r\n", m_body)},
            {"9112/6.3: a length with a unit", withFraming("Content-Length: " + m_size + "B\r\n", m_body)},
        };
    }

    // RFC 9112, section 7.1.
    [[nodiscard]] std::vector<AnswerRow> chunkRows() const
    {
        return {
            {"9112/7.1: capital digits, leading zeros, an extension", inChunks("00" + m_hexSize + ";a=\"b\"\r\n" + m_body + "\r\n0;c\r\n\r\n"), true},
            {"9112/7.1: a trailer", inChunks(m_hexSize + "\r\n" + m_body + "\r\n0\r\nX-T: 1\r\n\r\n"), true},
            {"9112/7.1: no size", inChunks("\r\n" + m_body + "\r\n0\r\n\r\n")},
            {"9112/7.1: a size that is no number", inChunks("xyz\r\n" + m_body + "\r\n0\r\n\r\n")},
            {"9112/7.1: a negative size", inChunks("-" + m_chunks)},
            {"9112/7.1: a size with a prefix", inChunks("0x" + m_chunks)},
            {"9112/7.1: a blank before the size", inChunks(" " + m_chunks)},
            {"9112/7.1: a size beyond 64 bits", inChunks("10000000000000000" + m_chunks)},
            {"9112/7.1: LF alone after the size", inChunks(m_hexSize + "\n" + m_body + "\r\n0\r\n\r\n")},
            {"9112/7.1: no CRLF after the data", inChunks(m_hexSize + "\r\n" + m_body + "0\r\n\r\n")},
            {"9112/7.1: other bytes after the data", inChunks(m_hexSize + "\r\n" + m_body + "xx0\r\n\r\n")},
            {"9112/7.1: a size below that of the data", inChunks("1\r\n" + m_body + "\r\n0\r\n\r\n")},
            {"9112/7.1.2: a blank in the name of a trailer", inChunks(m_hexSize + "\r\n" + m_body + "\r\n0\r\nX T: 1\r\n\r\n")},
            {"9112/7.1.2: a length in the trailer", inChunks(m_hexSize + "\r\n" + m_body + "\r\n0\r\nContent-Length: 1\r\n\r\n")},
        };
    }

    // RFC 9112, section 8.
    [[nodiscard]] std::vector<AnswerRow> endRows() const
    {
        return {
            {"9112/8: the end inside the head", m_ok + m_fields},
            {"9112/8: the end inside a body with a length", m_whole.substr(0, m_whole.size() - 1)},
            {"9112/8: the end inside a chunk", inChunks(m_chunks.substr(0, m_chunks.size() - 8))},
            {"9112/8: the end before the last chunk", inChunks(m_chunks.substr(0, m_chunks.size() - 5))},
            {"9112/8: the end inside the last chunk", inChunks(m_chunks.substr(0, m_chunks.size() - 2))},
        };
    }

    // RFC 9110, section 15.2.
    [[nodiscard]] std::vector<AnswerRow> interimRows() const
    {
        return {
            {"9110/15.2: an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + m_whole, true},
            {"9110/15.2: an interim response with fields", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + m_whole, true},
            {"9110/15.2: an unknown interim response", "HTTP/1.1 199 X\r\n\r\n" + m_whole, true},
            {"9110/15.2: only an interim response", "HTTP/1.1 100 Continue\r\n" + m_fields + "\r\n"},
            {"9110/15.2: an interim response, then no other", "HTTP/1.1 103 Early Hints\r\n" + m_fields + m_length + "\r\n" + m_body},
            {"9110/15.2.2: another protocol, which no one asked for", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + m_whole},
        };
    }

    // RFC 9110, section 15.
    [[nodiscard]] std::vector<AnswerRow> statusRows() const
    {
        std::vector<AnswerRow> out;
        for (const std::string status : {"000", "001", "099", "600", "700", "999"}) {
            const std::string rule = "9110/15: status " + status;
            const std::string line = "HTTP/1.1 " + status + " X\r\n";
            const std::string identified = line + m_fields;
            out.push_back({rule + ", a length", identified + m_length + "\r\n" + m_body});
            out.push_back({rule + ", chunks", identified + m_chunked + "\r\n" + m_chunks});
            out.push_back({rule + ", the end of the connection", identified + "\r\n" + m_body});
            out.push_back({rule + ", no body", identified + "Content-Length: 0\r\n\r\n"});
            out.push_back({rule + ", a head alone", line + "\r\n"});
            out.push_back({rule + ", then a whole response", line + m_length + "\r\n" + m_body + m_whole});
            out.push_back({rule + ", no body, then a whole response", line + "Content-Length: 0\r\n\r\n" + m_whole});
        }
        return out;
    }

    std::string m_fields;
    std::string m_body;
    std::string m_size; // of the body, in decimal digits
    std::string m_hexSize;
    const std::string m_ok = "HTTP/1.1 200 OK\r\n";
    std::string m_length; // a field
    const std::string m_chunked = "Transfer-Encoding: chunked\r\n";
    std::string m_chunks; // the body in one chunk, and the last chunk
    std::string m_whole; // a whole response
};

} // namespace carawaylatch::testing
