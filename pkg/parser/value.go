// Readers of single values. Each takes one field of a document, checks it and
// returns its value, or reports a fault that says what is allowed.

package parser

import (
	"bytes"
	"encoding/hex"
	"math"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// ByteSize is a number of bytes.
type ByteSize int

// The units of byte sizes.
const (
	KiB ByteSize = 1 << 10
	MiB ByteSize = 1 << 20
	GiB ByteSize = 1 << 30
)

// String returns the size in the largest unit that divides it.
func (b ByteSize) String() string {
	switch {
	case b != 0 && b%GiB == 0:
		return strconv.Itoa(int(b/GiB)) + "GiB"
	case b != 0 && b%MiB == 0:
		return strconv.Itoa(int(b/MiB)) + "MiB"
	case b != 0 && b%KiB == 0:
		return strconv.Itoa(int(b/KiB)) + "KiB"
	}
	return strconv.Itoa(int(b))
}

// What is allowed, as faults say it.
const (
	allowedName    = "1 to 64 lower-case letters, digits and dashes, beginning with a letter or digit"
	allowedAddress = "an IP number with a port from 1 to 65535, such as 10.0.0.1:8080 or [fd00::1]:8080"
	allowedBind    = "an IP number with a port from 0 to 65535, such as 10.0.0.1:8080 or [fd00::1]:8080"
	allowedURL     = "URLs of the form http://IP-NUMBER:PORT"
	allowedHash    = "64 lower-case hex digits, the SHA-256 of the key"
	allowedHeader  = "1 to 64 characters of a header's name"
)

// The bounds of texts, in bytes.
const (
	nameLimit    = 64
	headerLimit  = 64
	addressLimit = 64
)

// -----------------------------------------------------------------------------

// text takes an optional text of at most limit bytes.
func (d *document) text(name string, limit int) string {
	found, ok := d.take(name)
	if !ok {
		return ""
	}
	text, ok := stringOf(found.value)
	if !ok || len(text) > limit {
		d.wrong(name, found, "a text of up to "+strconv.Itoa(limit)+" bytes")
		return ""
	}
	return text
}

// secret takes a required text of least bytes or more; faults don't show it.
func (d *document) secret(name string, least int) string {
	allowed := "a text of at least " + strconv.Itoa(least) + " bytes"
	found, ok := d.require(name, allowed)
	if !ok {
		return ""
	}
	text, ok := stringOf(found.value)
	if !ok || len(text) < least {
		d.fault(found.line, name, "is too short or not a text; allowed: "+allowed)
		return ""
	}
	return text
}

// name takes a required name.
func (d *document) name(name string) string {
	return d.requiredText(name, allowedName, isName)
}

// choice takes one of several words; without a standard the field is required.
func (d *document) choice(name, standard string, choices ...string) string {
	allowed := strings.Join(choices, ", ")
	found, ok := d.take(name)
	if !ok && standard == "" {
		d.fault(d.line, name, "is missing; allowed: "+allowed)
	}
	if !ok {
		return standard
	}
	text, ok := stringOf(found.value)
	for _, choice := range choices {
		if ok && text == choice {
			return choice
		}
	}
	d.wrong(name, found, allowed)
	return standard
}

// boolean takes an optional true or false.
func (d *document) boolean(name string, standard bool) bool {
	found, ok := d.take(name)
	if !ok {
		return standard
	}
	literal, ok := found.value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		d.wrong(name, found, "true or false")
		return standard
	}
	return literal.Bool()
}

// requiredText takes a required text that passes check.
func (d *document) requiredText(name, allowed string, check func(string) bool) string {
	found, ok := d.require(name, allowed)
	if !ok {
		return ""
	}
	return d.checkedText(name, found, allowed, check)
}

// optionalText takes a text that passes check, or nothing.
func (d *document) optionalText(name, allowed string, check func(string) bool) string {
	found, ok := d.take(name)
	if !ok {
		return ""
	}
	return d.checkedText(name, found, allowed, check)
}

func (d *document) checkedText(name string, found field, allowed string, check func(string) bool) string {
	text, ok := stringOf(found.value)
	if !ok || !check(text) {
		d.wrong(name, found, allowed)
		return ""
	}
	return text
}

// texts takes an optional array of distinct texts that pass check.
func (d *document) texts(name, allowed string, check func(string) bool) []string {
	found, ok := d.take(name)
	if !ok {
		return nil
	}
	array, ok := found.value.(*hujson.Array)
	if !ok {
		d.wrong(name, found, "an array of "+allowed)
		return nil
	}
	var texts []string
	seen := make(map[string]bool, len(array.Elements))
	for _, element := range array.Elements {
		text, ok := stringOf(element.Value)
		switch {
		case !ok || !check(text):
			d.wrong(name, field{line: found.line, value: element.Value}, "an array of "+allowed)
		case seen[text]:
			d.fault(found.line, name, "holds "+oneLine(text)+" twice")
		default:
			texts = append(texts, text)
			seen[text] = true
		}
	}
	return texts
}

// -----------------------------------------------------------------------------

// duration takes a text such as "250ms" from least to most.
func (d *document) duration(name string, standard, least, most time.Duration) time.Duration {
	found, ok := d.take(name)
	if !ok {
		return standard
	}
	text, ok := stringOf(found.value)
	value, err := time.ParseDuration(text)
	if !ok || err != nil || value < least || value > most {
		d.wrong(name, found, `a duration from "`+shortDuration(least)+`" to "`+shortDuration(most)+`"`)
		return standard
	}
	return value
}

// integer takes a whole number from least to most.
func (d *document) integer(name string, standard, least, most int) int {
	found, ok := d.take(name)
	if !ok {
		return standard
	}
	value, ok := intOf(found.value)
	if !ok || value < least || value > most {
		d.wrong(name, found, wholeNumbers(least, most))
		return standard
	}
	return value
}

// requiredInteger takes a whole number that has no default.
func (d *document) requiredInteger(name string, least, most int) int {
	if _, ok := d.find(name); !ok {
		d.require(name, wholeNumbers(least, most))
		return least
	}
	return d.integer(name, least, least, most)
}

// number takes a number from least to most.
func (d *document) number(name string, standard, least, most float64) float64 {
	found, ok := d.take(name)
	if !ok {
		return standard
	}
	value, ok := floatOf(found.value)
	if !ok || value < least || value > most {
		d.wrong(name, found, numbers(least, most))
		return standard
	}
	return value
}

// requiredNumber takes a number that has no default.
func (d *document) requiredNumber(name string, least, most float64) float64 {
	if _, ok := d.find(name); !ok {
		d.require(name, numbers(least, most))
		return least
	}
	return d.number(name, least, least, most)
}

// byteSize takes a whole number of bytes or a text such as "1MiB".
func (d *document) byteSize(name string, standard, least, most ByteSize) ByteSize {
	found, ok := d.take(name)
	if !ok {
		return standard
	}
	value, ok := byteSizeOf(found.value)
	if !ok || value < least || value > most {
		d.wrong(name, found, `a number of bytes or a text from "`+least.String()+`" to "`+most.String()+`"`)
		return standard
	}
	return value
}

// shares takes an object of names with shares that sum to at most one.
func (d *document) shares(name string) map[string]float64 {
	const allowed = "an object of names with shares above 0, which sum to at most 1"
	found, ok := d.take(name)
	if !ok {
		return nil
	}
	object, ok := found.value.(*hujson.Object)
	if !ok {
		d.wrong(name, found, allowed)
		return nil
	}
	var shares map[string]float64
	sum := 0.0
	for _, member := range object.Members {
		region, _ := stringOf(member.Name.Value)
		share, ok := floatOf(member.Value.Value)
		if _, twice := shares[region]; !ok || twice || share <= 0 || share > 1 || !isName(region) {
			d.fault(found.line, name, "holds "+oneLine(region)+" with "+describe(member.Value.Value)+"; allowed: "+allowed)
			continue
		}
		if shares == nil {
			shares = make(map[string]float64, len(object.Members))
		}
		shares[region] = share
		sum += share
	}
	if sum > 1+shareTolerance {
		d.fault(found.line, name, "sums to more than 1; allowed: "+allowed)
	}
	return shares
}

// shareTolerance is how far above 1 rounding may carry a sum of shares.
const shareTolerance = 1e-9

// -----------------------------------------------------------------------------

func wholeNumbers(least, most int) string {
	return "a whole number from " + strconv.Itoa(least) + " to " + strconv.Itoa(most)
}

func numbers(least, most float64) string {
	return "a number from " + shortFloat(least) + " to " + shortFloat(most)
}

func shortFloat(value float64) string {
	return strconv.FormatFloat(value, 'g', -1, 64)
}

// shortDuration writes a duration without units of zero, such as 2m for 2m0s.
func shortDuration(value time.Duration) string {
	text := value.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func stringOf(value hujson.ValueTrimmed) (string, bool) {
	literal, ok := value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return "", false
	}
	if bytes.IndexByte(literal, '\\') < 0 && utf8.Valid(literal) {
		return string(literal[1 : len(literal)-1]), true
	}
	return literal.String(), true
}

func intOf(value hujson.ValueTrimmed) (int, bool) {
	literal, ok := value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		return 0, false
	}
	number, err := strconv.Atoi(string(literal))
	return number, err == nil
}

func floatOf(value hujson.ValueTrimmed) (float64, bool) {
	literal, ok := value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		return 0, false
	}
	number, err := strconv.ParseFloat(string(literal), 64)
	return number, err == nil && !math.IsInf(number, 0)
}

func byteSizeOf(value hujson.ValueTrimmed) (ByteSize, bool) {
	if number, ok := intOf(value); ok {
		return ByteSize(number), true
	}
	text, ok := stringOf(value)
	if !ok {
		return 0, false
	}
	return parseByteSize(text)
}

// parseByteSize parses a number with a unit, such as "32KiB" or "100B".
func parseByteSize(text string) (ByteSize, bool) {
	units := []struct {
		suffix string
		size   ByteSize
	}{{"KiB", KiB}, {"MiB", MiB}, {"GiB", GiB}, {"B", 1}, {"", 1}}
	for _, unit := range units {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(digits, 10, 31)
		return ByteSize(number) * unit.size, err == nil
	}
	return 0, false
}

// -----------------------------------------------------------------------------

// isName reports whether text is the name of a record, host, zone or region.
func isName(text string) bool {
	if text == "" || len(text) > nameLimit || text[0] == '-' {
		return false
	}
	for _, c := range []byte(text) {
		if !isLowerAlphanumeric(c) && c != '-' {
			return false
		}
	}
	return true
}

func isLowerAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || '0' <= c && c <= '9'
}

// isAddress reports whether text is an IP number with a port that can be
// dialled, in canonical form.
func isAddress(text string) bool {
	address, ok := parseAddress(text)
	return ok && address.Port() != 0 && !address.Addr().IsUnspecified()
}

// isBindAddress reports whether text is an IP number with any port.
func isBindAddress(text string) bool {
	_, ok := parseAddress(text)
	return ok
}

func parseAddress(text string) (netip.AddrPort, bool) {
	if len(text) > addressLimit {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(text)
	return address, err == nil && address.String() == text && !address.Addr().Is4In6()
}

// isPlatformURL reports whether text is an http URL with an IP number and no
// path, query or user.
func isPlatformURL(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" {
		return false
	}
	return text == "http://"+parsed.Host && isAddress(parsed.Host)
}

func isHash(text string) bool {
	decoded, err := hex.DecodeString(text)
	return err == nil && len(decoded) == sha256Size && strings.ToLower(text) == text
}

// sha256Size is the length of a SHA-256 hash in bytes.
const sha256Size = 32

// isHeaderName reports whether text is a token as HTTP allows for a header.
func isHeaderName(text string) bool {
	if text == "" || len(text) > headerLimit {
		return false
	}
	for _, c := range []byte(text) {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return true
}
