// The grammar of record files as PEGTL rules. The parse tree has a node for each rule that Kept lists.
#pragma once
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

namespace snowshore::records::grammar {

namespace p = tao::pegtl;

struct Comment : p::seq<p::two<'/'>, p::until<p::at<p::eolf>>> {};
struct Inline : p::star<p::one<' ', '\t', '\r'>> {};
struct Space : p::star<p::sor<p::one<' ', '\t', '\r', '\n'>, Comment>> {};
// As in CUE, a comma or the end of a line ends a member.
struct Separator : p::seq<Inline, p::sor<p::one<','>, p::seq<p::opt<Comment>, p::one<'\n'>>>, Space,
                          p::opt<p::one<','>, Space>> {};

struct Name : p::seq<p::opt<p::one<'#'>>, p::identifier> {};
struct Escape
    : p::seq<p::one<'\\'>,
             p::sor<p::one<'"', '\\', '/', 'n', 't', 'r', 'a', 'b', 'f', 'v'>,
                    p::seq<p::one<'u'>, p::rep<4, p::xdigit>>, p::seq<p::one<'U'>, p::rep<8, p::xdigit>>>> {};
struct Characters : p::star<p::sor<Escape, p::seq<p::not_at<p::one<'"', '\\', '\n'>>, p::utf8::any>>> {};
struct Text : p::seq<p::not_at<p::string<'"', '"', '"'>>, p::one<'"'>, p::must<Characters, p::one<'"'>>> {};
struct Digits : p::seq<p::digit, p::star<p::digit>> {};
struct Exponent : p::seq<p::one<'e', 'E'>, p::opt<p::one<'+', '-'>>, Digits> {};
struct Number
    : p::seq<p::opt<p::one<'-'>>,
             p::sor<p::seq<p::one<'0'>, p::not_at<p::digit>>, p::seq<p::range<'1', '9'>, p::star<p::digit>>>,
             p::opt<p::one<'.'>, Digits>, p::opt<Exponent>, p::not_at<p::identifier_other>> {};

struct Expression;
struct Member;
struct Members : p::seq<Space, p::opt<p::list<Member, Separator>, p::opt<Separator>>, Space> {};
struct Struct : p::seq<p::one<'{'>, Members, p::must<p::one<'}'>>> {};
struct Rest : p::seq<p::string<'.', '.', '.'>, Inline, p::opt<Expression>> {};
struct ListMark : p::seq<Space, p::one<','>, Space> {};
struct Items : p::seq<Space, p::opt<p::list<p::sor<Rest, Expression>, ListMark>, p::opt<ListMark>>, Space> {};
struct List : p::seq<p::one<'['>, Items, p::must<p::one<']'>>> {};
struct Group : p::seq<p::one<'('>, Space, p::must<Expression, Space, p::one<')'>>> {};
struct Reference : p::seq<Name, p::star<p::one<'.'>, Name>> {};
struct Primary : p::sor<Struct, List, Group, Text, Number, Reference> {};
struct BoundSign : p::sor<p::string<'>', '='>, p::string<'<', '='>, p::string<'!', '='>, p::string<'=', '~'>,
                          p::string<'!', '~'>, p::one<'>'>, p::one<'<'>> {};
struct BoundRule : p::seq<BoundSign, Inline, p::must<Primary>> {};
struct Unary : p::sor<BoundRule, Primary> {};
struct Conjunction : p::seq<Unary, p::star<Inline, p::one<'&'>, Space, p::must<Unary>>> {};
struct Preferred : p::one<'*'> {};
struct AlternativeRule : p::seq<p::opt<Preferred, Inline>, Conjunction> {};
struct Expression : p::seq<AlternativeRule, p::star<Inline, p::one<'|'>, Space, p::must<AlternativeRule>>> {};

struct Mark : p::one<'?', '!'> {};
struct Label : p::sor<Name, Text> {};
struct Pattern : p::seq<p::one<'['>, Space, p::string<'s', 't', 'r', 'i', 'n', 'g'>, Space, p::one<']'>,
                        Inline, p::one<':'>, Space, p::must<Expression>> {};
struct FieldRule : p::seq<Label, p::opt<Mark>, Inline, p::one<':'>, Space,
                          p::must<p::sor<FieldRule, Pattern, Expression>>> {};
struct Ellipsis : p::string<'.', '.', '.'> {};
struct Package : p::seq<p::keyword<'p', 'a', 'c', 'k', 'a', 'g', 'e'>, Inline, p::identifier, Separator> {};
struct Member : p::sor<Ellipsis, Pattern, FieldRule> {};
struct Body : Members {};
// A file may also consist of one struct in braces, as a JSON document does.
struct Braced : p::seq<Space, Struct, Space> {};
struct File
    : p::must<p::opt<p::utf8::bom>, Space, p::opt<Package>, p::sor<p::seq<Braced, p::eof>, Body>, p::eof> {};

template <class Rule>
using Kept = p::parse_tree::selector<
    Rule, p::parse_tree::store_content::on<Name, Text, Number, Struct, Rest, List, Group, Reference,
                                           BoundSign, BoundRule, Conjunction, Preferred, AlternativeRule,
                                           Expression, Mark, Label, FieldRule, Pattern, Ellipsis, Body>>;

} // namespace snowshore::records::grammar
