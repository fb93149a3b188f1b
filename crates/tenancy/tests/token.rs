//! Tokens: authentication, stored records and revocation.

use shalewall_tenancy::access::Role;
use shalewall_tenancy::token::{IssuedToken, PresentedToken, Token};

#[test]
fn a_token_authenticates_until_it_is_revoked_and_its_record_does_not_contain_the_secret() {
    let IssuedToken { mut token, text } = Token::issue(Role::Operator, [7; 8], [9; 32], 1);
    let presented = PresentedToken::parse(&text).unwrap();
    assert_eq!(presented.id, token.id);
    assert_eq!(presented.authenticate(Some(&token)), Some(Role::Operator));
    let other_text = text.replace('9', "8");
    let other_secret = PresentedToken::parse(&other_text).unwrap();
    assert_eq!(other_secret.authenticate(Some(&token)), None);
    assert_eq!(presented.authenticate(None), None);
    let stored = serde_json::to_string(&token).unwrap();
    let secret = text.rsplit('.').next().unwrap();
    assert_eq!(secret.len(), 64);
    assert!(!stored.contains(secret));
    token.revoked_at = Some(2);
    assert_eq!(presented.authenticate(Some(&token)), None);
    for text in ["", "swt.", "swt.a.b", "x"] {
        assert_eq!(PresentedToken::parse(text), None, "{text}");
    }
}
