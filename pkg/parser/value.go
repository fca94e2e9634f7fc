// Decoding of single fields. Each method looks up a field, validates it and returns
// its value, or adds a fault that says what is allowed.

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

// Units of byte sizes.
const (
	KiB ByteSize = 1 << 10
	MiB ByteSize = 1 << 20
	GiB ByteSize = 1 << 30
)

// String returns the size in the largest unit of which it is a multiple, such as
// 32KiB.
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

// Descriptions of allowed values, for faults.
const (
	allowedName        = "1 to 64 lower-case letters, digits and dashes, beginning with a letter or digit"
	allowedAddress     = "an IP address with a port from 1 to 65535, such as 10.0.0.1:8080 or [fd00::1]:8080"
	allowedBindAddress = "an IP address with a port from 0 to 65535, such as 10.0.0.1:8080 or [fd00::1]:8080"
	allowedURL         = "URLs of the form http://IP-ADDRESS:PORT"
	allowedHash        = "64 lower-case hex digits, the SHA-256 of the key"
	allowedTextsByName = "an object of distinct names with texts, each of 1 to 64 bytes"
	allowedHeader      = "a header name of 1 to 64 characters"
)

// Limits of texts.
const (
	maxNameBytes       = 64
	maxHeaderNameBytes = 64
	maxAddressBytes    = 64
)

// text decodes an optional text of at most limit bytes.
func (d *document) text(name string, limit int) string {
	found, ok := d.lookup(name)
	if !ok {
		return ""
	}
	text, ok := stringOf(found.value)
	if !ok || len(text) > limit {
		d.rejectValue(name, found, "a text of up to "+strconv.Itoa(limit)+" bytes")
		return ""
	}
	return text
}

// secret decodes a required text of at least minimum bytes. Faults do not show it.
func (d *document) secret(name string, minimum int) string {
	allowed := "a text of at least " + strconv.Itoa(minimum) + " bytes"
	found, ok := d.require(name, allowed)
	if !ok {
		return ""
	}
	text, ok := stringOf(found.value)
	if !ok || len(text) < minimum {
		d.addFault(found.line, name, "is too short or not a text; allowed: "+allowed)
		return ""
	}
	return text
}

// name decodes a required name.
func (d *document) name(name string) string {
	return d.requiredText(name, allowedName, isName)
}

// choice decodes one of several words. The field is required if defaultValue is
// empty.
func (d *document) choice(name, defaultValue string, choices ...string) string {
	allowed := strings.Join(choices, ", ")
	found, ok := d.lookup(name)
	if !ok && defaultValue == "" {
		d.addFault(d.line, name, "is missing; allowed: "+allowed)
	}
	if !ok {
		return defaultValue
	}
	text, ok := stringOf(found.value)
	for _, choice := range choices {
		if ok && text == choice {
			return choice
		}
	}
	d.rejectValue(name, found, allowed)
	return defaultValue
}

// boolean decodes an optional boolean.
func (d *document) boolean(name string, defaultValue bool) bool {
	found, ok := d.lookup(name)
	if !ok {
		return defaultValue
	}
	literal, ok := found.value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		d.rejectValue(name, found, "true or false")
		return defaultValue
	}
	return literal.Bool()
}

// requiredText decodes a required text that passes check.
func (d *document) requiredText(name, allowed string, check func(string) bool) string {
	found, ok := d.require(name, allowed)
	if !ok {
		return ""
	}
	return d.checkedText(name, found, allowed, check)
}

// optionalText decodes an optional text that passes check.
func (d *document) optionalText(name, allowed string, check func(string) bool) string {
	found, ok := d.lookup(name)
	if !ok {
		return ""
	}
	return d.checkedText(name, found, allowed, check)
}

func (d *document) checkedText(name string, found field, allowed string, check func(string) bool) string {
	text, ok := stringOf(found.value)
	if !ok || !check(text) {
		d.rejectValue(name, found, allowed)
		return ""
	}
	return text
}

// texts decodes an optional array of distinct texts that pass check.
func (d *document) texts(name, allowed string, check func(string) bool) []string {
	found, ok := d.lookup(name)
	if !ok {
		return nil
	}
	array, ok := found.value.(*hujson.Array)
	if !ok {
		d.rejectValue(name, found, "an array of "+allowed)
		return nil
	}
	var texts []string
	seen := make(map[string]bool, len(array.Elements))
	for _, element := range array.Elements {
		text, ok := stringOf(element.Value)
		switch {
		case !ok || !check(text):
			d.rejectValue(name, field{line: found.line, value: element.Value}, "an array of "+allowed)
		case seen[text]:
			d.addFault(found.line, name, "holds "+oneLine(text)+" twice")
		default:
			texts = append(texts, text)
			seen[text] = true
		}
	}
	return texts
}

// duration decodes an optional text such as "250ms", from minimum to maximum.
func (d *document) duration(name string, defaultValue, minimum, maximum time.Duration) time.Duration {
	found, ok := d.lookup(name)
	if !ok {
		return defaultValue
	}
	text, ok := stringOf(found.value)
	value, err := time.ParseDuration(text)
	if !ok || err != nil || value < minimum || value > maximum {
		d.rejectValue(name, found, `a duration from "`+formatDuration(minimum)+`" to "`+formatDuration(maximum)+`"`)
		return defaultValue
	}
	return value
}

// integer decodes an optional integer from minimum to maximum.
func (d *document) integer(name string, defaultValue, minimum, maximum int) int {
	found, ok := d.lookup(name)
	if !ok {
		return defaultValue
	}
	value, ok := intOf(found.value)
	if !ok || value < minimum || value > maximum {
		d.rejectValue(name, found, describeIntegers(minimum, maximum))
		return defaultValue
	}
	return value
}

// requiredInteger decodes a required integer from minimum to maximum.
func (d *document) requiredInteger(name string, minimum, maximum int) int {
	if _, ok := d.find(name); !ok {
		d.require(name, describeIntegers(minimum, maximum))
		return minimum
	}
	return d.integer(name, minimum, minimum, maximum)
}

// number decodes an optional number from minimum to maximum.
func (d *document) number(name string, defaultValue, minimum, maximum float64) float64 {
	found, ok := d.lookup(name)
	if !ok {
		return defaultValue
	}
	value, ok := floatOf(found.value)
	if !ok || value < minimum || value > maximum {
		d.rejectValue(name, found, describeNumbers(minimum, maximum))
		return defaultValue
	}
	return value
}

// requiredNumber decodes a required number from minimum to maximum.
func (d *document) requiredNumber(name string, minimum, maximum float64) float64 {
	if _, ok := d.find(name); !ok {
		d.require(name, describeNumbers(minimum, maximum))
		return minimum
	}
	return d.number(name, minimum, minimum, maximum)
}

// byteSize decodes an optional integer in bytes or text such as "1MiB", from minimum
// to maximum.
func (d *document) byteSize(name string, defaultValue, minimum, maximum ByteSize) ByteSize {
	found, ok := d.lookup(name)
	if !ok {
		return defaultValue
	}
	value, ok := byteSizeOf(found.value)
	if !ok || value < minimum || value > maximum {
		d.rejectValue(name, found, `a number of bytes or a text from "`+minimum.String()+`" to "`+maximum.String()+`"`)
		return defaultValue
	}
	return value
}

// shares decodes an optional object of names with shares whose sum is at most 1.
func (d *document) shares(name string) map[string]float64 {
	const allowed = "an object of names with shares above 0, which sum to at most 1"
	found, ok := d.lookup(name)
	if !ok {
		return nil
	}
	object, ok := found.value.(*hujson.Object)
	if !ok {
		d.rejectValue(name, found, allowed)
		return nil
	}
	var shares map[string]float64
	sum := 0.0
	for _, member := range object.Members {
		region, _ := stringOf(member.Name.Value)
		share, ok := floatOf(member.Value.Value)
		if _, duplicate := shares[region]; !ok || duplicate || share <= 0 || share > 1 || !isName(region) {
			d.addFault(found.line, name, "holds "+oneLine(region)+" with "+describe(member.Value.Value)+"; allowed: "+allowed)
			continue
		}
		if shares == nil {
			shares = make(map[string]float64, len(object.Members))
		}
		shares[region] = share
		sum += share
	}
	if sum > 1+shareTolerance {
		d.addFault(found.line, name, "sums to more than 1; allowed: "+allowed)
	}
	return shares
}

// textsByName decodes an optional object of texts.
func (d *document) textsByName(name string) map[string]string {
	found, ok := d.lookup(name)
	if !ok {
		return nil
	}
	object, ok := found.value.(*hujson.Object)
	if !ok {
		d.rejectValue(name, found, allowedTextsByName)
		return nil
	}
	texts := make(map[string]string, len(object.Members))
	for _, member := range object.Members {
		key, _ := stringOf(member.Name.Value)
		text, ok := stringOf(member.Value.Value)
		if _, duplicate := texts[key]; !ok || duplicate || !isShortText(key) || !isShortText(text) {
			d.addFault(found.line, name, "holds "+oneLine(key)+" with "+describe(member.Value.Value)+"; allowed: "+allowedTextsByName)
			continue
		}
		texts[key] = text
	}
	return texts
}

func isShortText(text string) bool { return text != "" && len(text) <= maxNameBytes }

// shareTolerance allows for rounding in the sum of shares.
const shareTolerance = 1e-9

func describeIntegers(minimum, maximum int) string {
	return "a whole number from " + strconv.Itoa(minimum) + " to " + strconv.Itoa(maximum)
}

func describeNumbers(minimum, maximum float64) string {
	return "a number from " + formatFloat(minimum) + " to " + formatFloat(maximum)
}

func formatFloat(value float64) string {
	return strconv.FormatFloat(value, 'g', -1, 64)
}

// formatDuration formats a duration without trailing zero units, such as 2m for
// 2m0s.
func formatDuration(value time.Duration) string {
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
		if number, err := strconv.ParseUint(digits, 10, 31); err == nil {
			return ByteSize(number) * unit.size, true
		}
		whole, fraction, ok := strings.Cut(digits, ".")
		if !ok || unit.size == 1 || !isDigits(whole) || !isDigits(fraction) {
			return 0, false
		}
		number, err := strconv.ParseFloat(digits, 64)
		return ByteSize(number * float64(unit.size)), err == nil && number < math.MaxInt32
	}
	return 0, false
}

// isDigits reports whether text consists of decimal digits.
func isDigits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}

// isName reports whether text is a valid name of a record, host, zone or region.
func isName(text string) bool {
	if text == "" || len(text) > maxNameBytes || text[0] == '-' {
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

// isAddress reports whether text is an IP address and port that can be dialled, in
// canonical form.
func isAddress(text string) bool {
	address, ok := parseAddress(text)
	return ok && address.Port() != 0 && !address.Addr().IsUnspecified()
}

// isBindAddress reports whether text is an IP address with any port, in canonical
// form.
func isBindAddress(text string) bool {
	_, ok := parseAddress(text)
	return ok
}

func parseAddress(text string) (netip.AddrPort, bool) {
	if len(text) > maxAddressBytes {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(text)
	return address, err == nil && address.String() == text && !address.Addr().Is4In6()
}

// isPlatformURL reports whether text is an http URL with an IP address and port and
// without path, query or user.
func isPlatformURL(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" {
		return false
	}
	return text == "http://"+parsed.Host && isAddress(parsed.Host)
}

func isSHA256Hex(text string) bool {
	decoded, err := hex.DecodeString(text)
	return err == nil && len(decoded) == sha256Bytes && strings.ToLower(text) == text
}

// sha256Bytes is the length of a SHA-256 hash.
const sha256Bytes = 32

// isHeaderName reports whether text is a token, as HTTP requires of a header name.
func isHeaderName(text string) bool {
	if text == "" || len(text) > maxHeaderNameBytes {
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
